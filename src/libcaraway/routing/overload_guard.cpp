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

/// The part of a limit from which on it counts as reached.
constexpr double reached_part = 0.9;

/// A mean over some hundred requests: within a second on a router that is flooded.
constexpr double yield_step = 0.01;

std::size_t part_of(std::size_t whole, double part)
{
    return static_cast<std::size_t>(std::lround(static_cast<double>(whole) * part));
}

bool is_reached(std::size_t limit, std::size_t taken)
{
    return taken >= part_of(limit, reached_part);
}

std::size_t raised(std::size_t limit, double growth)
{
    return limit + std::max<std::size_t>(1, part_of(limit, growth));
}

std::size_t lowered(std::size_t limit, std::size_t taken, double decrease, std::size_t least)
{
    return std::max(least, std::min(limit, part_of(taken, decrease)));
}

}  // namespace

overload_guard::overload_guard(overload_options options) : options_(options) {}

bool overload_guard::take_connection()
{
    ++connections_;
    return connections_ < connection_limit_;
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
            limit_ = lowered(limit_, under_way, options_.decrease, options_.least);
        }
        return;
    }
    late_in_a_row_ = 0;
    if (limit_ == unlimited)
    {
        return;
    }
    const bool reached = is_reached(limit_, under_way);
    limit_ = reached ? raised(limit_, options_.growth) : limit_;
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
        connection_limit_ =
            lowered(connection_limit_, taken, options_.decrease, options_.least_connections);
    }
    else if (connection_limit_ != unlimited && is_reached(connection_limit_, taken))
    {
        connection_limit_ = raised(connection_limit_, options_.growth);
    }
}

}  // namespace caraway::routing
