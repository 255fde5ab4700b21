#include "libcaraway/routing/json_parts.hpp"

namespace caraway::routing
{

using nlohmann::json;

json endpoint_json(const endpoint& address)
{
    return json::array({address.ip, address.port});
}

endpoint parse_endpoint(const json& encoded)
{
    return {.ip = encoded.at(0).get<std::string>(), .port = encoded.at(1).get<std::uint16_t>()};
}

json zone_updates_json(const std::vector<zone_update>& zones)
{
    auto out = json::array();
    for (const auto& each : zones)
    {
        out.push_back({each.zone.str(), each.drained, each.revision});
    }
    return out;
}

std::vector<zone_update> parse_zone_updates(const json& encoded)
{
    std::vector<zone_update> zones;
    for (const auto& each : encoded)
    {
        zones.push_back({.zone = base::zone_id(each.at(0).get<std::string>()),
                         .drained = each.at(1).get<bool>(),
                         .revision = each.at(2).get<std::uint64_t>()});
    }
    return zones;
}

}  // namespace caraway::routing
