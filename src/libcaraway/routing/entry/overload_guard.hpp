#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/entry/workspace_parts.hpp"

#include <cstddef>
#include <limits>
#include <string_view>

namespace caraway::routing::entry
{

struct overload_options
{
    /// Timer delay up to which the router counts as keeping up. A stream takes about six
    /// iterations of the event loop until its first event reaches the caller, and it is on time
    /// within 300 ms: with iterations of 20 ms, a third of that is left for the upstream. Timers
    /// are 2 to 4 ms late on VMs that keep up.
    std::chrono::milliseconds target_delay{20};
    /// Consecutive late ticks that count as overload. A configuration with hundreds of routes makes
    /// a single tick late, which is not overload.
    int late_ticks = 3;
    /// A tick with at least this delay means that the VM was suspended, not that it is overloaded.
    std::chrono::milliseconds suspended_after{700};
    /// Each late tick sets the limit to this fraction of the active streams; each tick that is on
    /// time while the limit is reached raises the limit by the fraction `growth`.
    double decrease = 0.85;
    double growth = 0.05;
    std::size_t min_streams = 16;
    /// The same for new connections of callers per tick. Four per tick of 100 ms are 40 per second,
    /// so that callers of all workspaces, and health checks, are still accepted.
    double decrease_connections = 0.7;
    std::size_t min_connections = 4;
    /// The first limit of new connections, unless there were more per tick while the VM kept up.
    std::size_t first_connections = 16;
    /// Smoothing factor of the new connections per tick.
    double connection_smoothing = 0.2;
    /// Workspaces that were given more than their part may use this fraction of the room: what the
    /// VM was given says little of what it carries, and nobody else may come for the rest.
    double room_of_ahead = 0.5;
    /// A request has low yield if its yield is below this fraction of the mean yield.
    double low_yield = 0.5;
    /// Probability with which a low-yield request is admitted while the router is overloaded. When
    /// the processor is the bottleneck, a workspace thus gets more tokens served, and none of its
    /// kinds of request starves.
    double low_yield_chance = 0.35;
};

/// The tokens that a stream delivers and the work of relaying it.
struct stream_effort
{
    /// Prompt and output tokens.
    double tokens = 0;
    /// Events relayed to the caller.
    double events = 0;

    /// Work in units of relaying an event. Reading, placing and sending a request costs a router
    /// about ten times as much (130,000 against 13,000 instructions).
    double work() const
    {
        constexpr double request_cost = 10;
        return request_cost + events;
    }
    /// Tokens per event's worth of work.
    double yield() const
    {
        return tokens / work();
    }
};

/// Whether callers were turned away in a tick.
enum class pressure
{
    none,
    /// Some were, though there was room.
    refusals,
    /// For lack of room.
    lack_of_room,
};

/// A limit that is lowered multiplicatively at each late tick, raised while it is reached and no
/// tick is late, and removed after several seconds without either.
class adaptive_limit
{
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// Lowers the limit to the fraction `decrease` of `current`, but not below `minimum`; if there
    /// was none, to `first` at most.
    void lower(std::size_t current, double decrease, std::size_t minimum,
               std::size_t first = unlimited);
    /// Raises the limit by the fraction `growth` if `current` has reached it, or if callers were
    /// turned away for lack of room; by more the more often in a row, so that a limit that was
    /// lowered too far is left within a second.
    void raise(std::size_t current, double growth, pressure pressed);
    std::size_t value() const
    {
        return value_;
    }
    bool is_set() const
    {
        return value_ != unlimited;
    }

private:
    std::size_t value_ = unlimited;
    int consecutive_calm_ticks_ = 0;
    /// Ticks in a row in which the limit was raised.
    int consecutive_raises_ = 0;
};

/// Keeps a router from accepting more streams than its processor can relay. All callers of a
/// workspace may be connected to one small VM and send several times the load that it can carry. If
/// all of it were accepted, each request would wait in the event loop until its caller leaves, and
/// none would be served. Overload is detected by how late timers fire, which is the only measure
/// available to the process: its own CPU clock does not show how much of a processor it is given.
///
/// New connections are limited first: beyond their limit a request would be read only to be
/// refused.
class overload_guard
{
public:
    explicit overload_guard(overload_options options = {});

    /// Records the delay of the regular timer and the number of active streams at that time.
    void record_tick(std::chrono::milliseconds timer_delay, std::size_t active_streams);
    /// Counts a new connection of a caller; returns whether another one may be accepted in the
    /// current tick.
    bool record_connection(std::size_t active_streams);
    /// Notes that a new connection was turned away in the current tick: one of a workspace with
    /// this standing, for lack of room, or one that nothing is known of.
    void record_turned_away(std::size_t active_streams, part_standing standing);
    void record_turned_away();
    /// Whether one more new connection may be passed on in the current tick that is of a workspace
    /// beyond its part.
    bool has_room(std::size_t active_streams, part_standing standing) const;
    /// Whether fewer connections were recorded in the current tick than are always accepted.
    bool is_below_min_connections() const
    {
        return new_connections_ < options_.min_connections;
    }
    /// Returns whether one more stream may be accepted of a workspace with this standing. Those
    /// within their parts are admitted beside the limit, which then has less room for the others;
    /// `streams_within` of the active ones are theirs. `random_unit` is uniform in [0, 1).
    bool admits(const stream_effort& effort, part_standing standing, std::size_t active_streams,
                std::size_t streams_within, double random_unit);
    /// Whether the processor is at its limit.
    bool overloaded() const
    {
        return streams_.is_set() || connections_.is_set();
    }
    /// Which limits are in force: "streams", "connections", "streams_and_connections" or "none".
    std::string_view binding() const;
    /// Streams that may be active; adaptive_limit::unlimited if there is no limit.
    std::size_t limit() const
    {
        return streams_.value();
    }
    /// The same for new connections per tick.
    std::size_t connection_limit() const
    {
        return connections_.value();
    }

private:
    /// What a workspace beyond its part may use of a limit.
    std::size_t room(const adaptive_limit& limit, part_standing standing) const;
    void record_late_tick(std::size_t new_connections, std::size_t active_streams);
    void record_tick_on_time(std::size_t new_connections, std::size_t active_streams);

    overload_options options_;
    adaptive_limit streams_;
    /// Limits the new connections of callers per tick.
    adaptive_limit connections_;
    /// Connections recorded in the current tick.
    std::size_t new_connections_ = 0;
    /// Mean of the ticks on time.
    double mean_connections_ = 0;
    pressure connection_pressure_ = pressure::none;
    pressure stream_pressure_ = pressure::none;
    int consecutive_late_ticks_ = 0;
    std::chrono::milliseconds last_delay_{};
    /// Moving mean of the yield of all requests that arrived.
    double mean_yield_ = 0;
};

}  // namespace caraway::routing::entry
