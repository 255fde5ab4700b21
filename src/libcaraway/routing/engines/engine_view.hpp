#pragma once

#include "libcaraway/routing/attempt_summary.hpp"
#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/engines/load_tracker.hpp"
#include "libcaraway/routing/engines/pace_record.hpp"
#include "libcaraway/routing/engines/prefill_pace.hpp"

namespace caraway::routing::engines
{

/// What is known of one upstream beside its load.
struct upstream_estimate
{
    /// Time to read one prompt token.
    double prefill_ms_per_token = 0;
    /// Time that one more running request adds to a short answer there.
    std::chrono::duration<double, std::milli> running_request_cost{1.5};
    /// Mean time of one plain call.
    std::chrono::duration<double, std::milli> call_time{20};
    /// The upstream has shown no progress for so long that new work should go elsewhere.
    bool stalled = false;
};

/// What the requests of all routers showed of the upstreams' speed, for the placer.
class engine_view
{
public:
    /// Speed of reading prompts.
    prefill_pace prefill;

    upstream_estimate estimate(const base::upstream_id& id, base::time_point now) const;
    /// What an upstream does compared to the mean of its service; 1 if nothing is known of it.
    double relative_throughput(const base::upstream_id& id) const;
    /// Requests that an engine may run, and tokens of memory that they may reserve there, given the
    /// request's own limit `slot_share`; see placement_request.
    double max_running(const engine_capacity& engine, const base::upstream_id& id,
                       double slot_share) const;
    std::uint64_t max_tokens(const engine_capacity& engine, const base::upstream_id& id,
                             base::time_point now) const;

    /// Records an ended attempt of this router.
    void record_attempt(const attempt_summary& ended, base::time_point now);
    /// Drops what is known of an upstream, after its process was replaced.
    void forget(const base::upstream_id& id);

    /// Replaces a peer's records.
    void set_peer(const base::node_id& peer, const pace_records& records, base::time_point now);
    /// This router's own records for its digest.
    pace_records own_records(base::time_point now);
    /// Recomputes the estimates from the records of all routers; called about once a second.
    void refresh(base::time_point now);
};

}  // namespace caraway::routing::engines
