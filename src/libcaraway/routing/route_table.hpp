#pragma once

#include "libcaraway/routing/configuration.hpp"

#include <string_view>
#include <unordered_map>

namespace caraway::routing
{

/// Looks up routes, workspaces and services in an accepted configuration. Immutable: requests in
/// flight keep the table that was current when they were admitted.
class route_table
{
public:
    explicit route_table(configuration accepted);

    const configuration& accepted() const
    {
        return accepted_;
    }

    /// The host's route with the longest prefix that matches the target's path; null if there is
    /// none. The host is compared without regard to case and port.
    const route* find_route(std::string_view host, std::string_view target) const;
    /// The workspace that the key belongs to; null if there is none.
    const workspace* find_workspace(std::string_view key) const;
    /// Null if there is no such service.
    const service* find_service(const base::service_id& id) const;

    /// Picks one of the route's services in proportion to their weights. `random_unit` is uniform
    /// in [0, 1). The route must have a service.
    static const base::service_id& pick_service(const route& matched, double random_unit);

private:
    configuration accepted_;
    std::unordered_map<std::string, const route*> routes_;
    std::size_t longest_prefix_ = 0;
    std::unordered_map<std::string, const workspace*> workspaces_;
    std::unordered_map<std::string, const service*> services_;
};

}  // namespace caraway::routing
