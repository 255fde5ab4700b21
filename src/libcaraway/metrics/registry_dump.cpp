#include "libcaraway/metrics/registry_dump.hpp"

#include "libcaraway/metrics/registry.hpp"

#include <QString>

namespace caraway::metrics
{

namespace
{

QJsonValue rendered(std::uint64_t count)
{
    return static_cast<qint64>(count);
}

QJsonValue rendered(double level)
{
    return level;
}

QJsonValue rendered(const histogram* values)
{
    return QJsonObject{{"count", static_cast<qint64>(values->count())},
                       {"sum", values->sum()},
                       {"p50", values->quantile(0.50)},
                       {"p95", values->quantile(0.95)},
                       {"p99", values->quantile(0.99)}};
}

}  // namespace

QJsonObject dump(const registry& of)
{
    QJsonObject out;
    for (const auto& each : of.values())
    {
        out[QString::fromStdString(each.name)] =
            std::visit([](auto value) { return rendered(value); }, each.value);
    }
    return out;
}

}  // namespace caraway::metrics
