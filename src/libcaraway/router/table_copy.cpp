#include "libcaraway/router/table_copy.hpp"

#include "libcaraway/routing/json_parts.hpp"

namespace caraway::router
{

namespace
{

using nlohmann::json;
using routing::endpoint_json;
using routing::endpoint_of;

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
        routers.push_back({each.id.str(), each.life, each.zone.str(), endpoint_json(each.callers),
                           endpoint_json(each.control), endpoint_json(each.datagrams)});
    }
    return json{{"from", copy.from.str()},
                {"configuration", copy.configuration},
                {"configuration_version", static_cast<std::uint64_t>(copy.version)},
                {"life", copy.at.life},
                {"changes", copy.at.changes},
                {"partial", copy.partial},
                {"upstreams", upstreams},
                {"revision", copy.state.revision},
                {"mark", copy.state.content_hash},
                {"zones", routing::zones_json(copy.zones)},
                {"routers", routers}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<table_copy> decode_copy(const std::string& text)
{
    try
    {
        const auto from = json::parse(text);
        table_copy copy{
            .from = base::node_id(from.at("from").get<std::string>()),
            .at = {.life = from.at("life").get<std::uint64_t>(),
                   .changes = from.at("changes").get<std::uint64_t>()},
            .configuration = from.at("configuration").get<std::string>(),
            .version = base::config_version{from.at("configuration_version").get<std::uint64_t>()},
            .partial = from.at("partial").get<bool>(),
            .state = {.revision = from.at("revision").get<std::uint64_t>(),
                      .content_hash = from.at("mark").get<std::uint64_t>()},
            .zones = routing::zones_of(from.at("zones"))};
        for (const auto& each : from.at("upstreams"))
        {
            copy.upstreams.push_back({.key = each.at(0).get<std::string>(),
                                      .value = each.at(1).get<std::string>(),
                                      .removed = each.at(3).get<bool>(),
                                      .revision = each.at(2).get<std::uint64_t>()});
        }
        for (const auto& each : from.at("routers"))
        {
            copy.routers.push_back({.id = base::node_id(each.at(0).get<std::string>()),
                                    .life = each.at(1).get<std::uint64_t>(),
                                    .zone = base::zone_id(each.at(2).get<std::string>()),
                                    .callers = endpoint_of(each.at(3)),
                                    .control = endpoint_of(each.at(4)),
                                    .datagrams = endpoint_of(each.at(5))});
        }
        return copy;
    }
    catch (const json::exception& wrong)
    {
        return base::make_error(base::errc::corrupt, wrong.what());
    }
}

}  // namespace caraway::router
