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

/// Settings of a router. A port of 0 means any free port.
struct settings
{
    base::node_id name;
    base::zone_id zone;
    /// All availability zones of the deployment; empty if not configured.
    std::set<base::zone_id> zones;
    routing::endpoint callers;
    routing::endpoint readiness;
    routing::endpoint control;
    routing::endpoint directory;
    /// Additional address for metrics; if empty, metrics are served only at the control address.
    routing::endpoint metrics;
    routing::endpoint datagrams;
    routing::endpoint store;
    /// Control addresses of some routers, for discovery; they may be outdated.
    std::vector<routing::endpoint> seeds;
    /// The whole fleet starts for the first time: no router has served before.
    bool first_start = false;
    routing::retry_budget_options retries;
    std::chrono::milliseconds share_window{4000};
    /// Time between SIGTERM and SIGKILL.
    std::chrono::milliseconds grace{8000};
    /// How long an upstream that is leaving continues to serve requests; all routers must know
    /// within this time that the upstream leaves.
    std::chrono::milliseconds leaving_notice{2000};
    /// How often upstreams write their entries, which expire after three such intervals of silence;
    /// 0 if unknown.
    std::chrono::milliseconds heartbeat{0};
    /// An engine crashes if its requests need more memory than it has.
    bool engines_crash_out_of_memory = false;
    /// Maximum time that callers cache a list of entry points.
    std::chrono::seconds entry_lifetime{1};
    std::size_t max_descriptors = 4096;
    /// Bytes that the process may take, with what the kernel has received for it.
    std::size_t memory = std::size_t{256} << 20U;
    /// Processor time of the VM, in cores.
    double capacity = 1;
};

/// Reads the settings again from their original source.
using settings_source = std::function<base::result<settings>()>;

}  // namespace caraway::router
