#include "libcaraway/routing/admission.hpp"

#include <algorithm>

namespace caraway::routing
{

namespace
{

milliseconds scaled(milliseconds duration, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// At least one round trip and one decoding step of an engine.
constexpr milliseconds min_retry_delay{50};
/// A quarter of the window of the shares (4 s).
constexpr milliseconds retry_delay_beyond_share{1000};

}  // namespace

admission_terms admit(const route& request_route, const share_status& status,
                      const admission_options& options)
{
    const auto target = request_route.latency_target;
    const bool may_begin = !status.is_beyond();
    if (may_begin && status.share_used < 1)
    {
        return {.longest_wait = scaled(target, options.engine_wait),
                .slot_share = 1,
                .max_queue_time = scaled(target, options.queue_time)};
    }
    const auto queue_time = scaled(target, options.queue_time_beyond);
    if (status.standing == share_standing::unlimited)
    {
        return {.longest_wait = scaled(target, options.engine_wait_beyond),
                .slot_share = options.slot_share_beyond,
                .max_queue_time = queue_time};
    }
    return {.longest_wait = longest_contended_wait(request_route, options),
            .slot_share = options.slot_share_contended,
            .max_repeated_tokens = options.repeated_tokens_contended,
            .max_queue_time = queue_time,
            .blocked = !may_begin};
}

milliseconds longest_contended_wait(const route& request_route, const admission_options& options)
{
    return scaled(request_route.latency_target, options.engine_wait_contended);
}

milliseconds retry_after(const route& request_route, double share_used, double random_unit)
{
    const auto mean_delay =
        share_used < 1 ? scaled(request_route.latency_target, 0.3) : retry_delay_beyond_share;
    return std::max(min_retry_delay, scaled(mean_delay, 0.7 + 0.6 * random_unit));
}

}  // namespace caraway::routing
