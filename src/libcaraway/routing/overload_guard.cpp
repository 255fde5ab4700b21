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

}  // namespace

void adaptive_limit::lower(std::size_t taken, double decrease, std::size_t least)
{
    value_ = std::max(least, std::min(value_, part_of(taken, decrease)));
    calm_in_a_row_ = 0;
}

void adaptive_limit::raise(std::size_t taken, double growth)
{
    if (!is_set())
    {
        return;
    }
    if (is_reached(value_, taken))
    {
        value_ += std::max<std::size_t>(1, part_of(value_, growth));
        calm_in_a_row_ = 0;
        return;
    }
    if (++calm_in_a_row_ >= calm_ticks)
    {
        value_ = unlimited;
    }
}

overload_guard::overload_guard(overload_options options) : options_(options) {}

bool overload_guard::record_connection(std::size_t under_way)
{
    ++taken_;
    const auto room = streams_.value() - std::min(streams_.value(), under_way);
    const auto most = std::min(connections_.value(), room);
    return taken_ < std::max(options_.min_connections, most);
}

bool overload_guard::admits(const stream_effort& of, std::size_t under_way, double draw)
{
    const auto yield = of.yield();
    usual_yield_ += (yield - usual_yield_) * yield_step;
    if (!streams_.is_set())
    {
        return true;
    }
    const bool poor = yield < options_.low_yield * usual_yield_;
    return under_way < limit() && (!poor || draw < options_.low_yield_chance);
}

void overload_guard::record_tick(std::chrono::milliseconds late, std::size_t under_way)
{
    const auto taken = std::exchange(taken_, 0);
    if (late >= options_.suspended_after)
    {
        return;
    }
    if (late <= options_.target_delay)
    {
        late_in_a_row_ = 0;
        connections_.raise(taken, options_.growth);
        streams_.raise(under_way, options_.growth);
        return;
    }
    if (++late_in_a_row_ < options_.late_ticks)
    {
        return;
    }
    if (taken > options_.min_connections)
    {
        connections_.lower(taken, options_.decrease_connections, options_.min_connections);
        return;
    }
    streams_.lower(under_way, options_.decrease, options_.min_streams);
}

}  // namespace caraway::routing
