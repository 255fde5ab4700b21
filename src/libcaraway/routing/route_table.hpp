#pragma once

#include "libcaraway/routing/configuration.hpp"

#include <string_view>
#include <unordered_map>

namespace caraway::routing
{

/// Finds what the accepted configuration says of a request: its route and its workspace. Immutable;
/// requests in flight keep the one that they were admitted by.
class route_table
{
public:
    explicit route_table(configuration accepted);

    const configuration& accepted() const
    {
        return accepted_;
    }

    /// The route of that host (any case, a port is ignored) with the longest prefix that begins
    /// the target's path; null if there is none.
    const route* find_route(std::string_view host, std::string_view target) const;
    /// The workspace that holds the key; null if none does.
    const workspace* find_workspace(std::string_view key) const;
    const service* find_service(const base::service_id& id) const;

    /// The service for a request, by the route's weights; `draw` is uniform in [0, 1).
    static const base::service_id& pick_service(const route& of, double draw);

private:
    configuration accepted_;
    std::unordered_map<std::string, const route*> routes_;
    std::unordered_map<std::string, const workspace*> workspaces_;
    std::unordered_map<std::string, const service*> services_;
};

}  // namespace caraway::routing
