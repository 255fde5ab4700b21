#include "libcaraway/membership/snapshot.hpp"

#include <QJsonArray>

namespace caraway::membership
{

namespace
{

QString to_text(const std::string& value)
{
    return QString::fromStdString(value);
}

QString address_text(const endpoint& value)
{
    return to_text(value.host + ":" + std::to_string(value.port));
}

/// Written as text, since JSON numbers hold integers exactly only up to 53 bits.
QString decimal_text(std::uint64_t value)
{
    return QString::number(value);
}

double seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

QJsonObject describe(const member& known, base::time_point now)
{
    QJsonObject described{
        {"node", to_text(known.node.id.str())},
        {"life", decimal_text(static_cast<std::uint64_t>(known.node.life))},
        {"state", name(known.state())},
        {"state_for_s", seconds(now - known.changed_at)},
        {"refutations", static_cast<qint64>(known.refutations)},
        {"peer", address_text(known.details.peer)},
        {"caller", address_text(known.details.caller)},
        {"admin", address_text(known.details.admin)},
        {"zone", to_text(known.details.zone.str())},
        {"region", to_text(known.details.region.str())},
        {"configuration", decimal_text(static_cast<std::uint64_t>(known.configuration))},
        {"configuration_hash", to_text(known.configuration_hash)},
    };
    if (known.load_measured_at)
    {
        described["load"] = QJsonObject{
            {"waiting", static_cast<qint64>(known.load.waiting)},
            {"free_slots", static_cast<qint64>(known.load.free_slots)},
            {"connections", static_cast<qint64>(known.load.connections)},
            {"age_s", seconds(now - *known.load_measured_at)},
        };
    }
    return described;
}

}  // namespace

QJsonObject snapshot(const membership& source, base::time_point now)
{
    QJsonArray members;
    for (const auto& [id, node] : source.members())
    {
        members.append(describe(node, now));
    }
    QJsonArray entries;
    for (const auto& entry : source.entries().entries(now))
    {
        entries.append(QJsonObject{{"fingerprint", decimal_text(entry.fingerprint)},
                                   {"count", static_cast<qint64>(entry.count)},
                                   {"ttl_ms", static_cast<qint64>(entry.ttl_ms)}});
    }
    return {{"self", to_text(source.self().id.str())}, {"members", members}, {"entries", entries}};
}

}  // namespace caraway::membership
