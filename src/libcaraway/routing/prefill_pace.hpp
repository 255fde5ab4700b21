#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <chrono>
#include <map>
#include <unordered_map>

namespace caraway::routing
{

/// What was seen of one engine's reading of prompts, newer weighing more.
struct prefill_record
{
    double milliseconds = 0;
    double tokens = 0;
};

using prefill_records = std::map<base::upstream_id, prefill_record>;

struct prefill_pace_options
{
    /// Before anything was seen: a prompt of thousands of tokens beside a batch. It is forgotten
    /// within seconds.
    double first_ms_per_token = 0.022;
    /// From sending a short prompt until its first event at an idle engine: 25 to 40 ms on three
    /// deployments, for prompts of under 300 tokens.
    std::chrono::milliseconds start{25};
    /// Shorter prompts say little of an engine's reading.
    std::uint32_t least_tokens = 1000;
    /// Nor do prompts behind others, whose reading isn't known so well: with more than this part of
    /// all that had to be read.
    double most_ahead = 0.3;
    /// Time in which what was seen loses half of its weight: engines slow down and recover within
    /// seconds.
    std::chrono::milliseconds half_life{8000};
    /// Tokens with which the mean of all engines weighs in an engine's own pace.
    double prior_tokens = 8000;
    /// A sample counts with at most so many times the pace that was expected: one that met a
    /// prompt nobody had told of yet is no measure of the engine.
    double most_times = 3;
    std::chrono::milliseconds peer_lifetime{20000};
};

/// How fast each engine reads prompts, learned from the time to first events here and at the other
/// routers. Engines of one service differ by half and some slow down; taken for alike, the slow
/// ones get as much as the others, and what runs there waits and is held up.
class prefill_pace
{
public:
    explicit prefill_pace(prefill_pace_options options = {});

    /// A prompt of `tokens`, behind `ahead` others, showed its first event after `took`.
    void record_prefill(const base::upstream_id& id, std::uint64_t ahead, std::uint32_t tokens,
                        base::duration took, base::time_point now);
    void set_peer(const base::node_id& peer, prefill_records records, base::time_point now);
    /// This router's, for its digest.
    prefill_records own_records(base::time_point now);
    /// Adds up what all routers have seen; called at times, as it goes through all records.
    void refresh(base::time_point now);

    double ms_per_token(const base::upstream_id& id) const;

private:
    struct aging_record
    {
        prefill_record seen;
        base::time_point at{};
    };
    struct peer_records
    {
        prefill_records records;
        base::time_point heard{};
    };

    void age(aging_record& of, base::time_point now) const;
    double usual_pace() const;

    prefill_pace_options options_;
    std::map<base::upstream_id, aging_record> own_;
    std::map<base::node_id, peer_records> peers_;
    prefill_record all_;
    /// Milliseconds for a token, of the engines of which something was seen.
    std::unordered_map<base::upstream_id, double> paces_;
};

}  // namespace caraway::routing
