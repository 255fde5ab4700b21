#pragma once

#include "libcaraway/routing/drained_zones.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <nlohmann/json.hpp>

/// Parts of what routers tell each other, in digests and in copies of tables. What can't be read
/// throws the library's exception.
namespace caraway::routing
{

nlohmann::json endpoint_json(const endpoint& of);
endpoint parse_endpoint(const nlohmann::json& from);

nlohmann::json zone_updates_json(const std::vector<zone_statement>& zones);
std::vector<zone_statement> parse_zone_updates(const nlohmann::json& from);

}  // namespace caraway::routing
