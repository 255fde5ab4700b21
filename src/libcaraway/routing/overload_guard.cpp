#include "libcaraway/routing/overload_guard.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing
{

namespace
{

/// Ticks without lateness, and without the limit being reached, after which there is none.
constexpr int calm_ticks = 50;

std::size_t part_of(std::size_t whole, double part)
{
    return static_cast<std::size_t>(std::lround(static_cast<double>(whole) * part));
}

}  // namespace

overload_guard::overload_guard(overload_options options) : options_(options) {}

void overload_guard::note_tick(std::chrono::milliseconds late, std::size_t under_way)
{
    if (late >= options_.stood_still)
    {
        return;
    }
    if (late > options_.target)
    {
        calm_in_a_row_ = 0;
        if (++late_in_a_row_ >= options_.late_ticks)
        {
            const auto lower = part_of(under_way, options_.decrease);
            limit_ = std::max(options_.least, std::min(limit_, lower));
        }
        return;
    }
    late_in_a_row_ = 0;
    if (limit_ == unlimited)
    {
        return;
    }
    const bool reached = under_way >= part_of(limit_, 0.9);
    limit_ += reached ? std::max<std::size_t>(1, part_of(limit_, options_.growth)) : 0;
    calm_in_a_row_ = reached ? 0 : calm_in_a_row_ + 1;
    if (calm_in_a_row_ >= calm_ticks)
    {
        limit_ = unlimited;
    }
}

}  // namespace caraway::routing
