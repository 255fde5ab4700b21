#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/engines/load_curve.hpp"
#include "libcaraway/routing/engines/pace_record.hpp"

#include <chrono>
#include <unordered_map>

namespace caraway::routing::engines
{

struct relative_pace_options
{
    /// Time in which a sample loses half of its weight: upstreams slow down and recover within
    /// seconds.
    std::chrono::milliseconds half_life{8000};
    /// Weight of the service's mean in the estimate for one upstream.
    double prior_weight = 4;
    /// A sample counts as at most this many times, and at least this fraction of, the expected
    /// time: one request that was queued or preempted is no measure of the upstream.
    double max_ratio = 3;
    /// Deviation from the mean, as a fraction, below which an upstream counts as average.
    double tolerance = 0.125;
    /// Samples are told to peers once their deviation from the estimate, times the square root of
    /// their weight, reaches this. The deviation of a single request is about 0.3.
    double min_told_deviation = 0.5;
    /// Limit on a peer's weight for one upstream, on the records accepted in one message, and on
    /// the upstreams kept.
    double max_peer_weight = 64;
    std::size_t max_peer_records = 1024;
    std::size_t max_upstreams = 4096;
};

/// A measurement of one piece of work at an upstream.
struct pace_sample
{
    base::upstream_id upstream;
    base::service_id service;
    /// Other requests running there.
    double running = 0;
    /// Time of one piece of work in ms.
    double milliseconds = 0;
    double weight = 1;
};

/// How slow each upstream is, relative to the mean of its service under the same load: by the time
/// per event of its streams or, for plain upstreams, by the time of its calls.
///
/// Routers tell each other only samples that contradict the current estimate, and each of them
/// once, so the state is one record for each upstream, and a lost message costs some samples only.
/// As all samples decay towards the mean, a slow upstream is tried again.
class relative_pace
{
public:
    explicit relative_pace(relative_pace_options options = {});

    /// Samples with values that are not positive, or not finite, are ignored.
    void record(const pace_sample& sample, base::time_point now);
    /// Adds a peer's records; invalid ones are ignored.
    void merge(const pace_records& records, base::time_point now);
    /// Returns the samples that peers should know, and doesn't return them again.
    pace_records take_untold(base::time_point now);
    /// Recomputes the estimates; called about once a second.
    void refresh(base::time_point now);
    void forget(const base::upstream_id& id);

    /// Time that a piece of work takes at the upstream, relative to the mean of its service; 1 for
    /// an upstream that is about average or unknown.
    double slowness(const base::upstream_id& id) const;
    /// The upstreams that aren't average.
    const std::unordered_map<base::upstream_id, double>& deviating() const
    {
        return slowness_;
    }
    std::size_t size() const
    {
        return known_.size();
    }

private:
    /// Weighted sum of relative times.
    struct weighted_sum
    {
        double relative_time = 0;
        double weight = 0;

        void add(double ratio, double added_weight);
        void scale(double factor);
    };
    struct known_upstream
    {
        weighted_sum total;
        weighted_sum untold;
        base::time_point updated{};
    };

    known_upstream* find_or_add(const base::upstream_id& id, base::time_point now);
    void apply_decay(known_upstream& known, base::time_point now) const;
    double estimate(const weighted_sum& sum) const;
    double mean_estimate() const;

    relative_pace_options options_;
    std::unordered_map<base::service_id, load_curve> expected_;
    std::unordered_map<base::upstream_id, known_upstream> known_;
    std::unordered_map<base::upstream_id, double> slowness_;
};

}  // namespace caraway::routing::engines
