#include "libcaraway/routing/admission.hpp"

#include <algorithm>

namespace caraway::routing
{

namespace
{

milliseconds part_of(milliseconds whole, double part)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

/// No sooner than a round trip and a step of an engine.
constexpr milliseconds soonest{50};
/// The window of shares (4 s) moves on by a quarter.
constexpr milliseconds beyond_share{1000};

}  // namespace

admission_terms admit(const route& by, const share_status& of, const admission_options& options)
{
    const auto target = by.latency_target;
    if (of.share_used < 1)
    {
        return {.longest_wait = part_of(target, options.engine_wait),
                .slot_share = 1,
                .max_queue_time = part_of(target, options.queue_time)};
    }
    if (of.excess_ratio >= options.max_excess_ratio)
    {
        return {.slot_share = 0,
                .max_queue_time = part_of(target, options.queue_time_beyond),
                .blocked = true};
    }
    // Capacity that nobody within its share wants is for whoever asks; of two that are beyond
    // theirs the one that has had less finds more places, so that they come out alike.
    const auto hold = part_of(target, options.queue_time_beyond);
    if (of.excess_ratio <= 0)
    {
        return {.longest_wait = part_of(target, options.engine_wait_beyond),
                .slot_share = options.slot_share_beyond,
                .max_queue_time = hold};
    }
    const double order = 1 / (1 + options.excess_slope * std::max(0.0, of.excess_ratio - 1));
    const double part = of.resubmitted ? 0 : order;
    return {.longest_wait = part_of(target, options.engine_wait_contended * part),
            .slot_share = options.slot_share_contended * part,
            .max_repeated_tokens = options.repeated_tokens_contended,
            .max_queue_time = hold};
}

milliseconds retry_after(const route& by, double share_used, double draw)
{
    const auto base = share_used < 1 ? part_of(by.latency_target, 0.3) : beyond_share;
    return std::max(soonest, part_of(base, 0.7 + 0.6 * draw));
}

}  // namespace caraway::routing
