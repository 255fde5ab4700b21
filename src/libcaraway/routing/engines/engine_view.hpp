#pragma once

#include "libcaraway/routing/attempt_summary.hpp"
#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/engines/load_tracker.hpp"
#include "libcaraway/routing/engines/memory_guard.hpp"
#include "libcaraway/routing/engines/pace_record.hpp"
#include "libcaraway/routing/engines/prefill_pace.hpp"
#include "libcaraway/routing/engines/relative_pace.hpp"
#include "libcaraway/routing/engines/time_split.hpp"

#include <unordered_map>

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

/// Speeds of all upstreams, for metrics.
struct speed_summary
{
    /// Upstreams that are slower than the mean of their service.
    std::size_t slow = 0;
    /// Time that work takes at the slowest one, relative to the mean of its service.
    double largest_slowness = 1;
};

/// What the requests of all routers showed of the upstreams' speed, for the placer.
class engine_view
{
public:
    /// Speed of reading prompts.
    prefill_pace prefill;
    /// Time per event of engines, and per call of plain upstreams.
    relative_pace pace;
    memory_guard memory;

    upstream_estimate estimate(const base::upstream_id& id, base::time_point now) const;
    /// What an upstream does compared to the mean of its service, reading and decoding together; 1
    /// if it is about average or nothing is known of it. Changes in steps, as shared parts of
    /// prompts move with it.
    double relative_throughput(const base::upstream_id& id) const;
    /// The part of the engine that the load takes for others: of its slots, of its memory, or of
    /// `longest_wait`, for which a further request may wait behind prompts; whichever is most.
    /// Above 1 while requests wait for slots or memory.
    double part_taken(const engine_capacity& engine, const base::upstream_id& id,
                      const upstream_load& load, std::chrono::milliseconds longest_wait) const;
    /// Requests that an engine may run, given the request's own limit `slot_share`; see
    /// placement_request.
    double max_running(const engine_capacity& engine, const base::upstream_id& id,
                       double slot_share) const;

    speed_summary summary() const;

    /// Records an ended attempt of this router.
    void record_attempt(const attempt_summary& ended, base::time_point now);
    /// Drops what is known of an upstream, after its process was replaced.
    void forget(const base::upstream_id& id);

    /// Adds a peer's records.
    void merge_peer(const pace_records& records, base::time_point now);
    /// This router's own records for its digest.
    pace_records own_records(base::time_point now);
    /// Recomputes the estimates from the records of all routers; called about once a second.
    void refresh(base::time_point now);

private:
    /// Estimates of an upstream that isn't average.
    struct known_speed
    {
        double prefill_ms_per_token = 0;
        double slowness = 1;
        double throughput = 1;
    };

    double throughput(const known_speed& speed, double mean_prefill) const;

    time_split split_;
    /// Kept in one table, so that each upstream considered for a request takes one look-up.
    std::unordered_map<base::upstream_id, known_speed> speeds_;
};

}  // namespace caraway::routing::engines
