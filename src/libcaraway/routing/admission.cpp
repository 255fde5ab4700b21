#include "libcaraway/routing/admission.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing
{

namespace
{

milliseconds part_of(milliseconds whole, double part)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

/// All routers let in the same part of what they are asked, so that together they come to the bound
/// and stay there, though each hears late what the others served.
double chance_of(const standing& of, const admission_options& options)
{
    const double bound = std::max(1.0, options.widest_gap * of.others);
    // In twice the delay what is missing now may be made up for: faster, it comes and goes in
    // waves.
    const double approach = 2 * of.count_delay;
    const double asked = of.wanted * approach;
    if (asked <= 0 || std::isinf(bound))
    {
        return 1;
    }
    const double leaves_window = bound * approach;
    return std::clamp((bound + leaves_window - of.had) / asked, 0.0, 1.0);
}

/// No sooner than a round trip and a step of an engine.
constexpr milliseconds soonest{50};
/// The window of shares (4 s) moves on by a quarter.
constexpr milliseconds beyond_share{1000};

}  // namespace

admission_terms admit(const route& by, const standing& of, const admission_options& options)
{
    const auto target = by.latency_target;
    const double chance = chance_of(of, options);
    if (of.fill < 1)
    {
        return {.longest_wait = part_of(target, options.engine_wait),
                .slot_share = 1,
                .hold = part_of(target, options.hold),
                .chance = chance};
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
            .hold = hold,
            .chance = chance};
}

milliseconds retry_after(const route& by, double fill, double draw)
{
    const auto base = fill < 1 ? part_of(by.latency_target, 0.3) : beyond_share;
    return std::max(soonest, part_of(base, 0.7 + 0.6 * draw));
}

}  // namespace caraway::routing
