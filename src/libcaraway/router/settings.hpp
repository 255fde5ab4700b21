#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/retry_budget.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace caraway::router
{

/// What a router is told at its start. A port 0 means any that is free.
struct settings
{
    base::node_id name;
    base::zone_id zone;
    /// All availability zones of the deployment; empty: not told.
    std::set<base::zone_id> zones;
    routing::endpoint callers;
    routing::endpoint readiness;
    routing::endpoint control;
    routing::endpoint directory;
    /// Without an address, metrics are served at the control address alone.
    routing::endpoint metrics;
    routing::endpoint datagrams;
    routing::endpoint store;
    /// Control addresses of some routers; they may be old.
    std::vector<routing::endpoint> seeds;
    routing::retry_budget_options retries;
    std::chrono::milliseconds share_window{4000};
    /// From SIGTERM to SIGKILL.
    std::chrono::milliseconds grace{8000};
    /// How long an upstream that leaves goes on serving: within this a router must know of it.
    std::chrono::milliseconds leaving_notice{2000};
    /// How long callers keep a list of routers, and the longest that some keep it.
    std::chrono::seconds entry_lifetime{1};
    std::size_t max_descriptors = 4096;
    /// Processor time of the VM, in cores.
    double capacity = 1;
};

/// Reads the settings anew, from wherever they came at the start.
using settings_source = std::function<base::result<settings>()>;

}  // namespace caraway::router
