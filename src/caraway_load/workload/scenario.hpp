#pragma once

#include "libcaraway/base/error.hpp"

#include <QJsonObject>
#include <QString>

#include <cstdint>
#include <string>
#include <vector>

namespace caraway_load::workload
{

/// Lognormal lengths of answers, in tokens.
struct token_lengths
{
    double median = 60;
    double sigma = 1.0;
    std::uint32_t most = 800;
};

/// The demand of a workspace is multiplied by `factor` for a while.
struct demand_change
{
    double from_s = 0;
    double to_s = 0;
    double factor = 1;
};

/// What one workspace asks for.
struct workspace_load
{
    std::string id;
    double share = 1;
    std::uint32_t max_waiting = 256;
    /// Generated tokens asked for, as a part of what all engines together can generate.
    double demand = 0;
    token_lengths tokens;
    /// Part of the model requests that are streamed.
    double streamed = 0.7;
    /// Calls of the plain service, a second.
    double plain_per_second = 0;
    /// The router that most of its callers are near, and how strongly: router number r steps
    /// further gets a weight of (1 + r) to the power of -skew.
    std::uint32_t home = 0;
    double skew = 1;
    std::vector<demand_change> changes;
};

struct engine_pool
{
    std::uint32_t count = 2;
    std::string model = "planner";
    std::uint32_t slots = 8;
    std::uint32_t token_ms = 20;
    std::uint32_t prefill_ms_per_1k_tokens = 50;
};

struct service_pool
{
    std::uint32_t count = 0;
    std::string service = "dispatch";
    std::uint32_t slots = 8;
    std::uint32_t work_ms = 20;
};

enum class fault_kind
{
    kill_router,      ///< SIGKILL; started again after `for_s`.
    freeze_router,    ///< SIGSTOP; SIGCONT after `for_s`.
    cut_router,       ///< No datagram to or from the other routers for `for_s`.
    drain_router,     ///< SIGTERM; started again after `for_s`.
    crash_engine,     ///< SIGKILL; started again after `for_s`.
    platform_outage,  ///< The table service, object store and VM list fail for `for_s`.
};

/// Something that fails at a given time of the run.
struct fault
{
    fault_kind kind = fault_kind::kill_router;
    double at_s = 0;
    double for_s = 5;
    /// Which router or engine, from 0.
    std::uint32_t index = 0;
};

/// How callers behave.
struct caller_habits
{
    std::uint32_t attempts = 4;
    /// Without a byte for so long, a caller hangs up.
    double patience_s = 60;
    /// Part of the model requests without max_tokens; the others ask for up to `hint_most` times
    /// of what they will get.
    double without_hint = 0.2;
    double hint_most = 16;
};

/// A deployment and what is asked of it.
struct scenario
{
    std::string name;
    std::uint64_t seed = 1;
    double duration_s = 30;
    /// Left out of all figures, so that queues and counters have built up.
    double warm_up_s = 5;
    /// How long requests may still end once nothing new arrives.
    double drain_s = 20;
    /// Before the load, to learn what an idle fleet costs.
    double idle_s = 3;
    std::uint32_t routers = 3;
    std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    engine_pool engines;
    service_pool services;
    caller_habits callers;
    std::vector<workspace_load> workspaces;
    std::vector<fault> faults;

    /// Tokens a second that all engines generate with every slot busy.
    double capacity() const;
};

/// Reads a scenario. Errors name the member at fault; unknown members are refused.
caraway::base::result<scenario> read_scenario(const QJsonObject& json);
caraway::base::result<scenario> read_scenario_file(const QString& name);

/// The name in scenario files, as in "kill_router".
const char* name(fault_kind kind);

}  // namespace caraway_load::workload
