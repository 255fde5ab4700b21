#include "libcaraway/router/table_copy.hpp"

#include "libcaraway/routing/json_parts.hpp"

namespace caraway::router
{

namespace
{

using nlohmann::json;
using routing::endpoint_json;
using routing::parse_endpoint;
using std::chrono::milliseconds;

json versions_json(const routing::version_history& history)
{
    auto versions = json::array();
    for (const auto& each : history.versions)
    {
        versions.push_back({each.service.str(), each.software.str(),
                            std::chrono::ceil<milliseconds>(each.age).count()});
    }
    return {{"complete_ms", std::chrono::floor<milliseconds>(history.complete_for).count()},
            {"versions", versions}};
}

milliseconds parse_age(const json& encoded)
{
    return milliseconds(encoded.get<std::uint32_t>());
}

routing::version_history parse_versions(const json& encoded)
{
    routing::version_history history;
    if (!encoded.is_object())
    {
        return history;
    }
    history.complete_for = parse_age(encoded.at("complete_ms"));
    for (const auto& each : encoded.at("versions"))
    {
        history.versions.push_back(
            {.service = base::service_id(each.at(0).get<std::string>()),
             .software = base::software_version(each.at(1).get<std::string>()),
             .age = parse_age(each.at(2))});
    }
    return history;
}

}  // namespace

std::string encode(const table_copy& copy)
{
    auto upstreams = json::array();
    for (const auto& each : copy.upstreams)
    {
        upstreams.push_back({each.key, each.value, each.revision, each.removed});
    }
    auto routers = json::array();
    for (const auto& each : copy.routers)
    {
        routers.push_back({each.id.str(), each.incarnation, each.zone.str(),
                           endpoint_json(each.callers), endpoint_json(each.control),
                           endpoint_json(each.datagrams)});
    }
    return json{{"from", copy.sender.str()},
                {"configuration", copy.configuration},
                {"configuration_version", static_cast<std::uint64_t>(copy.version)},
                {"life", copy.position.incarnation},
                {"changes", copy.position.changes},
                {"partial", copy.partial},
                {"upstreams", upstreams},
                {"revision", copy.state.revision},
                {"mark", copy.state.content_hash},
                {"answer_age_ms", copy.state.answer_age.count()},
                {"served", versions_json(copy.versions)},
                {"zones", routing::zone_updates_json(copy.zones)},
                {"routers", routers}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<table_copy> decode_copy(const std::string& text)
{
    try
    {
        const auto object = json::parse(text);
        table_copy copy{
            .sender = base::node_id(object.at("from").get<std::string>()),
            .position = {.incarnation = object.at("life").get<std::uint64_t>(),
                         .changes = object.at("changes").get<std::uint64_t>()},
            .configuration = object.at("configuration").get<std::string>(),
            .version =
                base::config_version{object.at("configuration_version").get<std::uint64_t>()},
            .partial = object.at("partial").get<bool>(),
            .state = {.revision = object.at("revision").get<std::uint64_t>(),
                      .content_hash = object.at("mark").get<std::uint64_t>(),
                      .answer_age = std::chrono::milliseconds(
                          object.value("answer_age_ms", std::int64_t{0}))},
            .versions = parse_versions(object.value("served", json())),
            .zones = routing::parse_zone_updates(object.at("zones"))};
        for (const auto& each : object.at("upstreams"))
        {
            copy.upstreams.push_back({.key = each.at(0).get<std::string>(),
                                      .value = each.at(1).get<std::string>(),
                                      .removed = each.at(3).get<bool>(),
                                      .revision = each.at(2).get<std::uint64_t>()});
        }
        for (const auto& each : object.at("routers"))
        {
            copy.routers.push_back({.id = base::node_id(each.at(0).get<std::string>()),
                                    .incarnation = each.at(1).get<std::uint64_t>(),
                                    .zone = base::zone_id(each.at(2).get<std::string>()),
                                    .callers = parse_endpoint(each.at(3)),
                                    .control = parse_endpoint(each.at(4)),
                                    .datagrams = parse_endpoint(each.at(5))});
        }
        return copy;
    }
    catch (const json::exception& parse_error)
    {
        return base::make_error(base::errc::corrupt, parse_error.what());
    }
}

}  // namespace caraway::router
