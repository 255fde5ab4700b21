#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <chrono>
#include <map>
#include <unordered_map>

namespace caraway::routing::engines
{

/// Observed prefill of one engine: time and prompt tokens, with recent samples weighing more.
struct prefill_record
{
    double milliseconds = 0;
    double tokens = 0;
};

using prefill_records = std::map<base::upstream_id, prefill_record>;

struct prefill_pace_options
{
    /// Prefill time per token assumed before any sample: that of a prompt of thousands of tokens
    /// next to a running batch. Samples outweigh it within seconds.
    double initial_ms_per_token = 0.022;
    /// Time to first event that is not prefill: an idle engine takes 25 to 40 ms for prompts of
    /// under 300 tokens, on three deployments.
    std::chrono::milliseconds fixed_latency{25};
    /// Samples of shorter prompts are ignored, as their time to first event is mostly latency.
    std::uint32_t min_tokens = 1000;
    /// Samples are ignored if more than this fraction of the tokens to prefill belonged to prompts
    /// queued before, since the remaining prefill of those is only estimated.
    double max_queued_fraction = 0.3;
    /// Time in which a sample loses half of its weight: engines slow down and recover within
    /// seconds.
    std::chrono::milliseconds half_life{8000};
    /// Weight, in tokens, of the mean of all engines in the estimate for one engine.
    double prior_tokens = 8000;
    /// A sample is capped at this multiple of the expected time: a request that was queued behind
    /// a prompt not yet reported by another router is no measure of the engine.
    double max_sample_ratio = 3;
    /// Records of a peer expire this long after they were received.
    std::chrono::milliseconds peer_lifetime{20000};
};

/// Estimates the prefill time per token of each engine, from times to first event measured by this
/// router and by its peers. Engines of one service differ by half and some slow down; without
/// separate estimates the slow engines would get as many requests as the others, which delays the
/// prompts and the running requests there.
class prefill_pace
{
public:
    explicit prefill_pace(prefill_pace_options options = {});

    /// Records that the first event of a prompt of `tokens`, queued behind `queued_tokens` of other
    /// prompts, came after `elapsed`.
    void record_prefill(const base::upstream_id& id, std::uint64_t queued_tokens,
                        std::uint32_t tokens, base::duration elapsed, base::time_point now);
    void set_peer(const base::node_id& peer, prefill_records records, base::time_point now);
    /// Returns this router's own records for its digest, and drops those with too little weight.
    prefill_records own_records(base::time_point now);
    /// Recomputes the estimates from the records of all routers. Iterates over all records, so it
    /// is called periodically and not for each sample.
    void refresh(base::time_point now);

    /// Estimated prefill time per token in ms; the mean of all engines if there is no sample.
    double ms_per_token(const base::upstream_id& id) const;
    /// Mean over all tokens, and over the engines that have samples, each counted once.
    double mean_ms_per_token() const;
    double mean_of_engines() const;
    /// The engines that have samples.
    const std::unordered_map<base::upstream_id, double>& estimates() const
    {
        return ms_per_token_;
    }
    void forget(const base::upstream_id& id);

private:
    struct decaying_record
    {
        prefill_record total;
        base::time_point updated{};
    };
    struct peer_records
    {
        prefill_records records;
        base::time_point received{};
    };

    void apply_decay(decaying_record& record, base::time_point now) const;

    prefill_pace_options options_;
    std::map<base::upstream_id, decaying_record> own_;
    std::map<base::node_id, peer_records> peers_;
    /// Sum over all engines and routers, with the initial estimate as a prior.
    prefill_record all_;
    /// Milliseconds per token of the engines that have samples.
    std::unordered_map<base::upstream_id, double> ms_per_token_;
};

}  // namespace caraway::routing::engines
