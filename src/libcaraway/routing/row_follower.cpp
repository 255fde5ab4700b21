#include "libcaraway/routing/row_follower.hpp"

#include <algorithm>

namespace caraway::routing
{

row_follower::row_follower(follower_options options) : options_(options) {}

row_follower::call row_follower::next(base::time_point now) const
{
    return {.kind = read_needed_ ? call_kind::read_all : call_kind::follow,
            .after = revision_,
            .hold = lost() ? std::chrono::milliseconds(0) : options_.hold,
            .not_before = std::max(now, earliest_)};
}

void row_follower::record_answer(std::uint64_t revision, base::time_point now)
{
    revision_ = std::max(revision_, revision);
    has_read_ = true;
    read_needed_ = false;
    failures_ = 0;
    earliest_ = now + options_.gap;
}

void row_follower::record_history_gone(base::time_point now)
{
    read_needed_ = true;
    earliest_ = now;
}

void row_follower::record_failure(base::time_point now)
{
    constexpr std::uint32_t largest_exponent = 6;
    const auto pause = options_.initial_backoff * (1U << std::min(failures_, largest_exponent));
    ++failures_;
    earliest_ = now + std::min(pause, options_.max_backoff);
}

}  // namespace caraway::routing
