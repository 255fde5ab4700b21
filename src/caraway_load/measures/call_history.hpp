#pragma once

#include "caraway_load/calls/call_record.hpp"
#include "caraway_load/measures/fairness_gap.hpp"
#include "caraway_load/workload/scenario.hpp"

#include <vector>

namespace caraway_load::measures
{

/// What callers' records say of the model service, put in order of time.
struct call_history
{
    /// By workspace.
    std::vector<workspace_service> workspaces;
    /// Each request's time in an engine's slot.
    intervals running;
    /// When any request of any workspace waited at a router that was up.
    intervals work_waits;
    /// Longest wait of each workspace's requests up to their start, or to where waiting ended
    /// without one; of requests sent inside the window.
    std::vector<double> longest_wait_s;
    /// The part of the waits that belong to requests which never started.
    std::vector<double> longest_unserved_wait_s;
};

/// When an attempt waited and when it ran.
///
/// A stream's first byte comes as the engine starts it. An answer that isn't streamed tells only
/// its end; its start is reckoned back from that by the engine's speed. Of one that never ended
/// nothing is known: it counts neither as waiting nor as running.
struct attempt_times
{
    interval waiting;
    std::optional<interval> running;
};

attempt_times times_of(const workload::scenario& load, const workload::arrival& asked,
                       const calls::attempt_record& attempt, double run_end_s);

/// `window` is the part of the run that waits are reported of.
call_history make_history(const workload::scenario& load,
                          const std::vector<calls::call_record>& calls, const interval& window,
                          double run_end_s);

}  // namespace caraway_load::measures
