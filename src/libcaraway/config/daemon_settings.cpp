#include "libcaraway/config/daemon_settings.hpp"

#include "libcaraway/config/configuration_json.hpp"
#include "libcaraway/config/cross_checks.hpp"
#include "libcaraway/config/json_pointer.hpp"
#include "libcaraway/config/merge.hpp"
#include "libcaraway/config/schema.hpp"
#include "libcaraway/config/strict_json.hpp"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <utility>

namespace caraway::config
{

namespace
{

const char* const redacted_value = "(not shown)";
const std::string override_source = "--set";
constexpr std::uint16_t max_port = 65535;

/// Sets the value at a pointer and creates missing objects on the path. False when the path passes
/// through a value that isn't an object; arrays can only be replaced as a whole.
bool set_at(QJsonObject& object, const std::vector<QString>& steps, std::size_t depth,
            const QJsonValue& value)
{
    const QString& name = steps[depth];
    if (depth + 1 == steps.size())
    {
        object[name] = value;
        return true;
    }
    const QJsonValue inner_value = object.value(name);
    if (!inner_value.isUndefined() && !inner_value.isObject())
    {
        return false;
    }
    QJsonObject inner = inner_value.toObject();
    if (!set_at(inner, steps, depth + 1, value))
    {
        return false;
    }
    object[name] = inner;
    return true;
}

/// Parses an override's text; empty when it begins like JSON but is malformed.
std::optional<QJsonValue> override_value(const QByteArray& text)
{
    const QByteArray array = '[' + text + ']';
    QJsonParseError failure;
    const QJsonArray parsed = QJsonDocument::fromJson(array, &failure).array();
    if (failure.error == QJsonParseError::NoError && parsed.size() == 1)
    {
        return parsed.at(0);
    }
    const bool begins_like_json =
        text.startsWith('{') || text.startsWith('[') || text.startsWith('"');
    if (begins_like_json)
    {
        return std::nullopt;
    }
    return QJsonValue(QString::fromUtf8(text));
}

std::string text(const QJsonValue& value)
{
    return value.toString().toStdString();
}

/// Reads the members of one group of settings; omitted ones keep their defaults.
class group_reader
{
public:
    group_reader(const QJsonObject& settings, const char* group)
        : group_(settings.value(group).toObject())
    {
    }

    template <class Number>
    void number(const char* member, Number& target) const
    {
        const QJsonValue value = group_.value(member);
        target = value.isDouble() ? static_cast<Number>(value.toInt()) : target;
    }

    void milliseconds(const char* member, std::chrono::milliseconds& target) const
    {
        const QJsonValue value = group_.value(member);
        target = value.isDouble() ? std::chrono::milliseconds(value.toInt()) : target;
    }

    void string(const char* member, std::string& target) const
    {
        const QJsonValue value = group_.value(member);
        target = value.isString() ? text(value) : target;
    }

private:
    QJsonObject group_;
};

void read_platform(const QJsonObject& json, platform_settings& platform)
{
    const group_reader group(json, "platform");
    group.string("host", platform.host);
    group.number("port", platform.port);
    group.string("bucket", platform.bucket);
    group.string("table", platform.table);
    group.milliseconds("timeout_ms", platform.timeout);
}

void read_http(const QJsonObject& json, http_limits& http)
{
    const group_reader group(json, "http");
    group.number("header_bytes", http.header_bytes);
    group.number("body_bytes", http.body_bytes);
    group.number("connections", http.connections);
    group.number("pipelined", http.pipelined);
    group.milliseconds("header_timeout_ms", http.header_timeout);
    group.milliseconds("body_timeout_ms", http.body_timeout);
    group.milliseconds("idle_timeout_ms", http.idle_timeout);
    group.milliseconds("first_byte_timeout_ms", http.first_byte_timeout);
    group.milliseconds("progress_timeout_ms", http.progress_timeout);
}

void read_scheduling(const QJsonObject& json, scheduling_settings& scheduling)
{
    const group_reader group(json, "scheduling");
    group.number("owners_asked", scheduling.owners_asked);
    group.number("headroom", scheduling.headroom);
    group.milliseconds("report_delay_ms", scheduling.report_delay);
    group.milliseconds("report_refresh_ms", scheduling.report_refresh);
}

log_level read_level(const std::string& name)
{
    for (const log_level level :
         {log_level::debug, log_level::info, log_level::warning, log_level::error})
    {
        if (name == config::name(level))
        {
            return level;
        }
    }
    return log_level::info;
}

void read_log(const QJsonObject& json, log_settings& log)
{
    const QJsonObject group = json.value("log").toObject();
    log.level = read_level(text(group.value("level")));
    log.format = group.value("format").toString() == "json" ? log_format::json : log_format::text;
}

/// Parses "address:port", with brackets around an IPv6 address.
std::optional<seed_address> read_seed(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    else if (host.find(':') != std::string::npos)
    {
        return std::nullopt;
    }
    bool is_number = false;
    const int port = QString::fromStdString(text.substr(colon + 1)).toInt(&is_number);
    if (!is_number || port < 1 || port > max_port || !is_ip_address(host))
    {
        return std::nullopt;
    }
    return seed_address{.host = std::move(host), .port = static_cast<std::uint16_t>(port)};
}

std::vector<seed_address> read_seeds(const QJsonObject& json)
{
    std::vector<seed_address> seeds;
    for (const QJsonValue value : json.value("seeds").toArray())
    {
        if (auto seed = read_seed(text(value)))
        {
            seeds.push_back(*std::move(seed));
        }
    }
    return seeds;
}

daemon_settings settings_from_json(const QJsonObject& json)
{
    daemon_settings settings;
    settings.node = base::node_id(text(json.value("node")));
    settings.address = text(json.value("address"));
    settings.zone = base::zone_id(text(json.value("zone")));
    settings.region = base::region_id(text(json.value("region")));
    const group_reader ports(json, "ports");
    ports.number("callers", settings.ports.callers);
    ports.number("admin", settings.ports.admin);
    ports.number("peers", settings.ports.peers);
    const QJsonValue threads = json.value("traffic_threads");
    settings.traffic_threads =
        static_cast<std::uint32_t>(threads.toInt(static_cast<int>(settings.traffic_threads)));
    read_platform(json, settings.platform);
    settings.fleet_key = {.key = text(json.value("fleet_key")),
                          .file = text(json.value("fleet_key_file"))};
    settings.bootstrap = {
        .operators = operators_from_json(json.value("bootstrap_operators").toObject()),
        .approvals = static_cast<std::uint32_t>(json.value("bootstrap_approvals").toInt())};
    settings.seeds = read_seeds(json);
    read_http(json, settings.http);
    read_scheduling(json, settings.scheduling);
    read_log(json, settings.log);
    const group_reader drain(json, "drain");
    drain.milliseconds("address_lifetime_ms", settings.drain.address_lifetime);
    drain.milliseconds("limit_ms", settings.drain.limit);
    return settings;
}

/// Checks the rules that the schema can't express.
std::vector<cross_check_error> cross_check_settings(const QJsonObject& json)
{
    std::vector<cross_check_error> errors;
    if (json.contains("fleet_key") == json.contains("fleet_key_file"))
    {
        errors.push_back({"/fleet_key", "expected either fleet_key or fleet_key_file"});
    }
    const std::pair<std::string, QJsonValue> addresses[] = {
        {"/address", json.value("address")},
        {"/platform/host", json.value("platform").toObject().value("host")}};
    for (const auto& [pointer, value] : addresses)
    {
        if (value.isString() && !is_ip_address(text(value)))
        {
            errors.push_back({pointer, "expected an IP address; found \"" + text(value) + '"'});
        }
    }
    const QJsonArray seeds = json.value("seeds").toArray();
    for (qsizetype i = 0; i < seeds.size(); ++i)
    {
        if (seeds.at(i).isString() && !read_seed(text(seeds.at(i))))
        {
            errors.push_back(
                {child_pointer("/seeds", static_cast<std::size_t>(i)),
                 "expected address:port or [address]:port; found \"" + text(seeds.at(i)) + '"'});
        }
    }
    return errors;
}

QJsonObject without_secrets(QJsonObject json)
{
    if (json.contains("fleet_key"))
    {
        json["fleet_key"] = redacted_value;
    }
    return json;
}

void apply(const setting_override& one, QJsonObject& json, problems& found)
{
    const auto steps = pointer_steps(one.pointer);
    const auto value = override_value(one.value);
    if (!steps || steps->empty())
    {
        found.push_back({override_source, one.pointer, "expected a JSON pointer to a member"});
    }
    else if (!value)
    {
        found.push_back({override_source, one.pointer, "expected a JSON value or a plain word"});
    }
    else if (!set_at(json, *steps, 0, *value))
    {
        found.push_back({override_source, one.pointer, "expected a path through objects only"});
    }
}

}  // namespace

const char* name(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "info";
}

std::optional<setting_override> parse_override(const std::string& text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos || text.front() != '/')
    {
        return std::nullopt;
    }
    return setting_override{.pointer = text.substr(0, equals),
                            .value = QByteArray::fromStdString(text.substr(equals + 1))};
}

settings_report read_settings(const std::string& file, const QByteArray& bytes,
                              const std::vector<setting_override>& overrides)
{
    settings_report report;
    const merge_limits limits;
    if (static_cast<std::size_t>(bytes.size()) > limits.file_bytes)
    {
        report.found.push_back(
            {file, "", "expected at most " + std::to_string(limits.file_bytes) + " bytes"});
        return report;
    }
    json_parse_result read = parse_strict_json(bytes, limits.depth);
    for (json_error& error : read.errors)
    {
        report.found.push_back({file, std::move(error.pointer), std::move(error.message)});
    }
    if (!read.object)
    {
        return report;
    }
    QJsonObject json = *read.object;
    for (const setting_override& one : overrides)
    {
        apply(one, json, report.found);
    }
    for (violation& one : check_schema(schema_name::settings, json))
    {
        report.found.push_back({file, std::move(one.pointer), std::move(one.message)});
    }
    for (cross_check_error& error : cross_check_settings(json))
    {
        report.found.push_back({file, std::move(error.pointer), std::move(error.message)});
    }
    report.redacted = without_secrets(json);
    if (report.found.empty())
    {
        report.settings = settings_from_json(json);
    }
    return report;
}

}  // namespace caraway::config
