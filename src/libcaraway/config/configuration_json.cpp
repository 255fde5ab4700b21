#include "libcaraway/config/configuration_json.hpp"

#include <QJsonArray>

#include <algorithm>

namespace caraway::config
{

namespace
{

std::string text(const QJsonValue& value)
{
    return value.toString().toStdString();
}

std::uint32_t count(const QJsonValue& value, std::uint32_t default_value)
{
    const int number = value.toInt(static_cast<int>(default_value));
    return static_cast<std::uint32_t>(std::max(number, 0));
}

std::vector<sha256_hex> key_hashes(const QJsonObject& json)
{
    std::vector<sha256_hex> hashes;
    for (const QJsonValue hash : json.value("key_hashes").toArray())
    {
        hashes.push_back(text(hash));
    }
    return hashes;
}

workspace read_workspace(const std::string& id, const QJsonObject& json)
{
    workspace read{
        .id = base::workspace_id(id), .weight = {}, .key_hashes = key_hashes(json), .services = {}};
    read.weight = base::share(json.value("share").toDouble(read.weight.value()));
    read.max_waiting = count(json.value("max_waiting"), read.max_waiting);
    for (const QJsonValue name : json.value("services").toArray())
    {
        read.services.emplace_back(text(name));
    }
    return read;
}

call_rule read_rule(const QJsonObject& json)
{
    return {.method = json.value("method").toString("*").toStdString(),
            .path_prefix = text(json.value("path_prefix")),
            .idempotent = json.value("idempotent").toBool()};
}

service read_service(const std::string& id, const QJsonObject& json)
{
    service read{.id = base::service_id(id), .rules = {}};
    read.kind =
        json.value("kind").toString() == "plain" ? service_kind::plain : service_kind::model;
    for (const QJsonValue rule : json.value("rules").toArray())
    {
        read.rules.push_back(read_rule(rule.toObject()));
    }
    const auto milliseconds = static_cast<std::uint32_t>(read.timeout.count());
    read.timeout = std::chrono::milliseconds(count(json.value("timeout_ms"), milliseconds));
    read.default_cost = base::cost(json.value("default_cost").toDouble(read.default_cost.value()));
    return read;
}

upstream read_upstream(const std::string& id, const QJsonObject& json)
{
    upstream read{.id = base::upstream_id(id),
                  .service = base::service_id(text(json.value("service"))),
                  .host = text(json.value("host")),
                  .zone = base::zone_id(text(json.value("zone")))};
    read.port = static_cast<std::uint16_t>(json.value("port").toInt());
    read.slots = count(json.value("slots"), read.slots);
    read.checks_fencing = json.value("checks_fencing").toBool();
    read.draining = json.value("draining").toBool();
    return read;
}

operator_account read_operator(const std::string& id, const QJsonObject& json)
{
    return {.id = base::operator_id(id),
            .key_hashes = key_hashes(json),
            .may_propose = json.value("may_propose").toBool(),
            .may_approve = json.value("may_approve").toBool()};
}

/// Converts each member of a part with `read`.
template <class Id, class T>
std::map<Id, T> read_part(const QJsonObject& part,
                          T (*read)(const std::string&, const QJsonObject&))
{
    std::map<Id, T> entries;
    for (auto member = part.begin(); member != part.end(); ++member)
    {
        const std::string id = member.key().toStdString();
        entries.emplace(Id(id), read(id, member.value().toObject()));
    }
    return entries;
}

}  // namespace

std::map<base::operator_id, operator_account> operators_from_json(const QJsonObject& json)
{
    return read_part<base::operator_id>(json, read_operator);
}

configuration configuration_from_json(const QJsonObject& json)
{
    configuration read;
    read.workspaces =
        read_part<base::workspace_id>(json.value("workspaces").toObject(), read_workspace);
    read.services = read_part<base::service_id>(json.value("services").toObject(), read_service);
    read.upstreams =
        read_part<base::upstream_id>(json.value("upstreams").toObject(), read_upstream);
    read.operators = operators_from_json(json.value("operators").toObject());
    for (const QJsonValue rule : json.value("review").toArray())
    {
        read.review.push_back({.part = text(rule.toObject().value("part")),
                               .approvals = count(rule.toObject().value("approvals"), 0)});
    }
    return read;
}

}  // namespace caraway::config
