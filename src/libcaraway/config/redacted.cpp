#include "libcaraway/config/daemon_settings.hpp"

#include <QJsonArray>

namespace caraway::config
{

namespace
{

QJsonValue json(const std::string& text)
{
    return QString::fromStdString(text);
}

template <class Number>
QJsonValue number(Number value)
{
    return static_cast<qint64>(value);
}

QJsonValue milliseconds(std::chrono::milliseconds value)
{
    return static_cast<qint64>(value.count());
}

QJsonObject http_json(const http_limits& http)
{
    return {{"header_bytes", number(http.header_bytes)},
            {"body_bytes", number(http.body_bytes)},
            {"connections", number(http.connections)},
            {"pipelined", number(http.pipelined)},
            {"header_timeout_ms", milliseconds(http.header_timeout)},
            {"body_timeout_ms", milliseconds(http.body_timeout)},
            {"idle_timeout_ms", milliseconds(http.idle_timeout)},
            {"first_byte_timeout_ms", milliseconds(http.first_byte_timeout)},
            {"progress_timeout_ms", milliseconds(http.progress_timeout)}};
}

QJsonObject platform_json(const platform_settings& platform)
{
    return {{"host", json(platform.host)},
            {"port", number(platform.port)},
            {"bucket", json(platform.bucket)},
            {"table", json(platform.table)},
            {"timeout_ms", milliseconds(platform.timeout)}};
}

QJsonObject scheduling_json(const scheduling_settings& scheduling)
{
    return {{"owners_asked", number(scheduling.owners_asked)},
            {"headroom", number(scheduling.headroom)},
            {"report_delay_ms", milliseconds(scheduling.report_delay)},
            {"report_refresh_ms", milliseconds(scheduling.report_refresh)}};
}

QJsonArray operator_names(const bootstrap_options& bootstrap)
{
    QJsonArray names;
    for (const auto& [id, account] : bootstrap.operators)
    {
        names.append(json(id.str()));
    }
    return names;
}

QJsonArray seeds_json(const std::vector<seed_address>& seeds)
{
    QJsonArray all;
    for (const seed_address& seed : seeds)
    {
        all.append(QJsonObject{{"host", json(seed.host)}, {"port", number(seed.port)}});
    }
    return all;
}

}  // namespace

QJsonObject redacted(const daemon_settings& settings)
{
    const QJsonObject ports{{"callers", number(settings.ports.callers)},
                            {"admin", number(settings.ports.admin)},
                            {"peers", number(settings.ports.peers)}};
    const QJsonObject log{{"level", name(settings.log.level)},
                          {"format", settings.log.format == log_format::json ? "json" : "text"}};
    const QJsonObject drain{{"address_lifetime_ms", milliseconds(settings.drain.address_lifetime)},
                            {"limit_ms", milliseconds(settings.drain.limit)}};
    // Omits the fleet key itself (only its file is shown) and the operators' key hashes (only ids).
    return {{"node", json(settings.node.str())},
            {"address", json(settings.address)},
            {"zone", json(settings.zone.str())},
            {"region", json(settings.region.str())},
            {"ports", ports},
            {"traffic_threads", number(settings.traffic_threads)},
            {"platform", platform_json(settings.platform)},
            {"fleet_key_file", json(settings.fleet_key.file)},
            {"bootstrap_operators", operator_names(settings.bootstrap)},
            {"bootstrap_approvals", number(settings.bootstrap.approvals)},
            {"seeds", seeds_json(settings.seeds)},
            {"http", http_json(settings.http)},
            {"scheduling", scheduling_json(settings.scheduling)},
            {"log", log},
            {"drain", drain}};
}

}  // namespace caraway::config
