#include "libcaraway/routing/row_follower.hpp"

#include <algorithm>

namespace caraway::routing
{

row_follower::row_follower(follower_options options) : options_(options) {}

row_follower::call row_follower::next(base::time_point now) const
{
    return {.kind = needs_full_read_ ? call_kind::read_all : call_kind::follow,
            .after = revision_,
            .hold = lost() ? std::chrono::milliseconds(0) : options_.hold,
            .not_before = std::max(now, not_before_)};
}

void row_follower::record_answer(std::uint64_t revision, base::time_point now)
{
    revision_ = std::max(revision_, revision);
    has_read_ = true;
    needs_full_read_ = false;
    consecutive_failures_ = 0;
    not_before_ = now + options_.gap;
}

void row_follower::record_history_gone(base::time_point now)
{
    needs_full_read_ = true;
    not_before_ = now;
}

void row_follower::record_failure(base::time_point now)
{
    constexpr std::uint32_t max_exponent = 6;
    const auto backoff =
        options_.initial_backoff * (1U << std::min(consecutive_failures_, max_exponent));
    ++consecutive_failures_;
    not_before_ = now + std::min(backoff, options_.max_backoff);
}

}  // namespace caraway::routing
