#include "libcaraway/routing/entry/overload_guard.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caraway::routing::entry
{

namespace
{

/// A limit is removed after this many ticks that were on time and did not reach it.
constexpr int calm_ticks_until_removal = 50;

/// Fraction of a limit from which on it counts as reached.
constexpr double reached_fraction = 0.9;

/// Smoothing factor of the mean yield: about a hundred requests, which a flooded router receives
/// within a second.
constexpr double yield_smoothing = 0.01;

std::size_t scaled(std::size_t count, double factor)
{
    return static_cast<std::size_t>(std::lround(static_cast<double>(count) * factor));
}

bool is_reached(std::size_t limit, std::size_t current)
{
    return current >= scaled(limit, reached_fraction);
}

}  // namespace

void adaptive_limit::lower(std::size_t current, double decrease, std::size_t minimum)
{
    value_ = std::max(minimum, std::min(value_, scaled(current, decrease)));
    consecutive_calm_ticks_ = 0;
}

void adaptive_limit::raise(std::size_t current, double growth)
{
    if (!is_set())
    {
        return;
    }
    if (is_reached(value_, current))
    {
        value_ += std::max<std::size_t>(1, scaled(value_, growth));
        consecutive_calm_ticks_ = 0;
        return;
    }
    if (++consecutive_calm_ticks_ >= calm_ticks_until_removal)
    {
        value_ = unlimited;
    }
}

overload_guard::overload_guard(overload_options options) : options_(options) {}

bool overload_guard::record_connection(std::size_t active_streams)
{
    ++new_connections_;
    const auto stream_capacity = streams_.value() - std::min(streams_.value(), active_streams);
    const auto max_connections = std::min(connections_.value(), stream_capacity);
    return new_connections_ < std::max(options_.min_connections, max_connections);
}

bool overload_guard::has_room(std::size_t active_streams) const
{
    return active_streams < limit() && new_connections_ < connections_.value();
}

bool overload_guard::admits(const stream_effort& effort, part_standing standing,
                            std::size_t active_streams, std::size_t streams_within,
                            double random_unit)
{
    const auto yield = effort.yield();
    mean_yield_ += (yield - mean_yield_) * yield_smoothing;
    if (!streams_.is_set())
    {
        return true;
    }
    if (standing == part_standing::within)
    {
        return streams_within < limit();
    }
    if (standing == part_standing::ahead || active_streams >= limit())
    {
        return false;
    }
    const bool low_yield = yield < options_.low_yield * mean_yield_;
    return !low_yield || random_unit < options_.low_yield_chance;
}

std::string_view overload_guard::binding() const
{
    if (streams_.is_set())
    {
        return connections_.is_set() ? "streams_and_connections" : "streams";
    }
    return connections_.is_set() ? "connections" : "none";
}

void overload_guard::record_tick(std::chrono::milliseconds timer_delay, std::size_t active_streams)
{
    const auto new_connections = std::exchange(new_connections_, 0);
    if (timer_delay >= options_.suspended_after)
    {
        return;
    }
    if (timer_delay <= options_.target_delay)
    {
        consecutive_late_ticks_ = 0;
        connections_.raise(new_connections, options_.growth);
        streams_.raise(active_streams, options_.growth);
        return;
    }
    if (++consecutive_late_ticks_ < options_.late_ticks)
    {
        return;
    }
    if (new_connections > options_.min_connections)
    {
        connections_.lower(new_connections, options_.decrease_connections,
                           options_.min_connections);
        return;
    }
    streams_.lower(active_streams, options_.decrease, options_.min_streams);
}

}  // namespace caraway::routing::entry
