#include "libcaraway/routing/overload_guard.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caraway::routing
{

namespace
{

/// Ticks without lateness, and without the limit being reached, after which there is none.
constexpr int calm_ticks = 50;

/// A mean over some hundred requests: within a second on a router that is flooded.
constexpr double yield_step = 0.01;

std::size_t part_of(std::size_t whole, double part)
{
    return static_cast<std::size_t>(std::lround(static_cast<double>(whole) * part));
}

}  // namespace

overload_guard::overload_guard(overload_options options) : options_(options) {}

bool overload_guard::admits_connection()
{
    if (connections_ >= connection_limit_)
    {
        return false;
    }
    ++connections_;
    return true;
}

bool overload_guard::admits(const stream_effort& of, std::size_t under_way, double draw)
{
    const auto yield = of.yield();
    usual_yield_ += (yield - usual_yield_) * yield_step;
    if (!busy())
    {
        return true;
    }
    const bool poor = yield < options_.poor * usual_yield_;
    return under_way < limit_ && (!poor || draw < options_.poor_chance);
}

void overload_guard::note_tick(std::chrono::milliseconds late, std::size_t under_way)
{
    if (late >= options_.stood_still)
    {
        connections_ = 0;
        return;
    }
    limit_connections(late > options_.target);
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

/// By the same measure and in the same steps as streams, once there is a limit to these.
void overload_guard::limit_connections(bool late)
{
    const auto taken = std::exchange(connections_, 0);
    if (!busy())
    {
        connection_limit_ = unlimited;
        return;
    }
    if (late)
    {
        const auto lower = part_of(std::min(connection_limit_, taken), options_.decrease);
        connection_limit_ = std::max(options_.least_connections, lower);
        return;
    }
    const bool reached = connection_limit_ != unlimited && taken >= part_of(connection_limit_, 0.9);
    connection_limit_ +=
        reached ? std::max<std::size_t>(1, part_of(connection_limit_, options_.growth)) : 0;
}

}  // namespace caraway::routing
