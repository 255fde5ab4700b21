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

admission_terms admit(const route& by, const standing& of, const admission_options& options)
{
    const auto target = by.latency_target;
    if (of.fill < 1)
    {
        return {.longest_wait = part_of(target, options.engine_wait),
                .slot_share = 1,
                .hold = part_of(target, options.hold)};
    }
    if (of.ahead >= options.widest_gap)
    {
        return {.slot_share = 0, .hold = part_of(target, options.hold_beyond), .closed = true};
    }
    // Capacity that nobody within its share wants is for whoever asks; of two that are beyond
    // theirs the one that has had less finds more places, so that they come out alike.
    const auto hold = part_of(target, options.hold_beyond);
    if (of.ahead <= 0)
    {
        return {.longest_wait = part_of(target, options.engine_wait_beyond),
                .slot_share = options.slots_beyond,
                .hold = hold};
    }
    const double order = 1 / (1 + options.ahead_slope * std::max(0.0, of.ahead - 1));
    const double part = of.returned ? 0 : order;
    return {.longest_wait = part_of(target, options.engine_wait_contended * part),
            .slot_share = options.slots_contended * part,
            .most_repeated = options.repeated_contended,
            .hold = hold};
}

milliseconds retry_after(const route& by, double fill, double draw)
{
    const auto base = fill < 1 ? part_of(by.latency_target, 0.3) : beyond_share;
    return std::max(soonest, part_of(base, 0.7 + 0.6 * draw));
}

}  // namespace caraway::routing
