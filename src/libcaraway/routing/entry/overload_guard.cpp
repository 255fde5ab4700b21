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

constexpr int max_growth_factor = 2;

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

void adaptive_limit::lower(std::size_t current, double decrease, std::size_t minimum,
                           std::size_t first)
{
    const auto highest = is_set() ? value_ : first;
    value_ = std::max(minimum, std::min(highest, scaled(current, decrease)));
    consecutive_raises_ = 0;
    consecutive_calm_ticks_ = 0;
}

void adaptive_limit::raise(std::size_t current, double growth, pressure pressed)
{
    if (!is_set())
    {
        return;
    }
    if (pressed == pressure::lack_of_room || is_reached(value_, current))
    {
        consecutive_raises_ = std::min(consecutive_raises_ + 1, max_growth_factor);
        value_ += std::max<std::size_t>(1, scaled(value_, growth * consecutive_raises_));
    }
    else if (pressed == pressure::none)
    {
        consecutive_raises_ = 0;
        ++consecutive_calm_ticks_;
        value_ = consecutive_calm_ticks_ < calm_ticks_until_removal ? value_ : unlimited;
        return;
    }
    consecutive_calm_ticks_ = 0;
}

overload_guard::overload_guard(overload_options options) : options_(options) {}

bool overload_guard::record_connection(std::size_t active_streams)
{
    ++new_connections_;
    const auto stream_capacity = streams_.value() - std::min(streams_.value(), active_streams);
    const auto max_connections = std::min(connections_.value(), stream_capacity);
    return new_connections_ < std::max(options_.min_connections, max_connections);
}

bool overload_guard::has_room(std::size_t active_streams, part_standing standing) const
{
    return active_streams < room(streams_, standing) &&
           new_connections_ < room(connections_, standing);
}

void overload_guard::record_turned_away(std::size_t active_streams, part_standing standing)
{
    const auto pressure_on = [&](const adaptive_limit& limit, std::size_t count)
    {
        return count < room(limit, standing) ? pressure::refusals : pressure::lack_of_room;
    };
    connection_pressure_ =
        std::max(connection_pressure_, pressure_on(connections_, new_connections_));
    stream_pressure_ = std::max(stream_pressure_, pressure_on(streams_, active_streams));
}

void overload_guard::record_turned_away()
{
    connection_pressure_ = std::max(connection_pressure_, pressure::refusals);
    stream_pressure_ = std::max(stream_pressure_, pressure::refusals);
}

std::size_t overload_guard::room(const adaptive_limit& limit, part_standing standing) const
{
    if (!limit.is_set() || standing != part_standing::ahead)
    {
        return limit.value();
    }
    return std::max(options_.min_connections, scaled(limit.value(), options_.room_of_ahead));
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
    if (active_streams >= room(streams_, standing))
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
        record_tick_on_time(new_connections, active_streams);
        return;
    }
    connection_pressure_ = pressure::none;
    stream_pressure_ = pressure::none;
    // A delay that falls shows that the limits are low enough.
    const bool is_falling = timer_delay < last_delay_;
    last_delay_ = timer_delay;
    if (++consecutive_late_ticks_ >= options_.late_ticks && !is_falling)
    {
        record_late_tick(new_connections, active_streams);
    }
}

void overload_guard::record_tick_on_time(std::size_t new_connections, std::size_t active_streams)
{
    consecutive_late_ticks_ = 0;
    last_delay_ = {};
    mean_connections_ +=
        (static_cast<double>(new_connections) - mean_connections_) * options_.connection_smoothing;
    connections_.raise(new_connections, options_.growth,
                       std::exchange(connection_pressure_, pressure::none));
    streams_.raise(active_streams, options_.growth,
                   std::exchange(stream_pressure_, pressure::none));
}

void overload_guard::record_late_tick(std::size_t new_connections, std::size_t active_streams)
{
    if (new_connections > options_.min_connections)
    {
        const auto carried = static_cast<std::size_t>(mean_connections_);
        connections_.lower(new_connections, options_.decrease_connections, options_.min_connections,
                           std::max(options_.first_connections, carried));
        return;
    }
    streams_.lower(active_streams, options_.decrease, options_.min_streams);
}

}  // namespace caraway::routing::entry
