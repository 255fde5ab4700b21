#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/membership/member.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace carawayd::traffic
{

/// All that the traffic threads need to know of the control state, as of one moment. Never changed,
/// only replaced, so that a request sees one configuration from its first byte to its last.
struct routing_view
{
    std::shared_ptr<const caraway::config::accepted_configuration> configuration;
    /// By the key's SHA-256 in hex.
    std::unordered_map<std::string, caraway::base::workspace_id> workspaces_by_key;
    /// The routers as this one sees them, for telling callers where to connect.
    std::map<caraway::base::node_id, caraway::membership::member> members;
    caraway::base::zone_id zone;
    caraway::base::region_id region;
    std::chrono::seconds entry_lifetime{30};
    /// Whether a configuration is in force here, so that requests can be served.
    bool ready = false;
    /// Whether this router is stopping; it serves what comes but is told to nobody.
    bool draining = false;
};

/// Holds the latest view; the control thread replaces it, any thread reads it.
class routing_view_holder
{
public:
    std::shared_ptr<const routing_view> get() const
    {
        return view_.load();
    }
    void set(std::shared_ptr<const routing_view> view)
    {
        view_.store(std::move(view));
    }

private:
    std::atomic<std::shared_ptr<const routing_view>> view_{std::make_shared<routing_view>()};
};

}  // namespace carawayd::traffic
