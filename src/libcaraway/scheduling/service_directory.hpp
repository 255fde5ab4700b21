#pragma once

#include "libcaraway/config/configuration.hpp"

#include <map>
#include <vector>

namespace caraway::scheduling
{

/// Lookups in the active configuration.
class service_directory
{
public:
    void set(config::configuration content);

    const config::configuration& content() const;
    /// Null if the configuration has no such entry; so for service() and upstream().
    const config::workspace* workspace(const base::workspace_id& id) const;
    const config::service* service(const base::service_id& id) const;
    const config::upstream* upstream(const base::upstream_id& id) const;
    /// All upstreams of a service, draining ones included.
    const std::vector<base::upstream_id>& upstreams_of(const base::service_id& id) const;
    /// Share of a workspace; 1 if the workspace is not configured here yet.
    base::share weight(const base::workspace_id& id) const;
    /// Assumed cost of a service's request without an estimate; never 0.
    base::cost default_cost(const base::service_id& id) const;
    /// Total slots of all upstreams of a service.
    base::slots slots_of(const base::service_id& id) const;

private:
    config::configuration content_;
    std::map<base::service_id, std::vector<base::upstream_id>> by_service_;
    std::map<base::service_id, base::slots> slots_;
};

}  // namespace caraway::scheduling
