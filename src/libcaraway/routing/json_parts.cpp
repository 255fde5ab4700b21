#include "libcaraway/routing/json_parts.hpp"

namespace caraway::routing
{

using nlohmann::json;

json endpoint_json(const endpoint& of)
{
    return json::array({of.ip, of.port});
}

endpoint parse_endpoint(const json& from)
{
    return {.ip = from.at(0).get<std::string>(), .port = from.at(1).get<std::uint16_t>()};
}

json zone_updates_json(const std::vector<zone_statement>& zones)
{
    auto out = json::array();
    for (const auto& each : zones)
    {
        out.push_back({each.zone.str(), each.drained, each.revision});
    }
    return out;
}

std::vector<zone_statement> parse_zone_updates(const json& from)
{
    std::vector<zone_statement> zones;
    for (const auto& each : from)
    {
        zones.push_back({.zone = base::zone_id(each.at(0).get<std::string>()),
                         .drained = each.at(1).get<bool>(),
                         .revision = each.at(2).get<std::uint64_t>()});
    }
    return zones;
}

}  // namespace caraway::routing
