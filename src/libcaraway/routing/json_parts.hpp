#pragma once

#include "libcaraway/routing/drained_zones.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <nlohmann/json.hpp>

/// JSON forms shared by digests and table copies. The parse functions throw
/// `nlohmann::json::exception` on malformed input.
namespace caraway::routing
{

nlohmann::json endpoint_json(const endpoint& address);
endpoint parse_endpoint(const nlohmann::json& encoded);

nlohmann::json zone_updates_json(const std::vector<zone_update>& zones);
std::vector<zone_update> parse_zone_updates(const nlohmann::json& encoded);

}  // namespace caraway::routing
