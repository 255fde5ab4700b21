#pragma once

#include "libcaraway/base/clock.hpp"

#include <cstddef>
#include <limits>

namespace caraway::routing
{

struct overload_options
{
    /// How late a timer may be. A stream passes some six turns of the event loop before its first
    /// event is with its caller, and 300 ms are on time: with turns of 20 ms a third is left to
    /// the upstream. On VMs that keep up, timers are 2 to 4 ms late.
    std::chrono::milliseconds target_delay{20};
    /// Ticks in a row that must be late: a configuration of hundreds of routes takes one, and is
    /// no overload.
    int late_ticks = 3;
    /// A tick so late is a VM that stood still, not one that has too much to do.
    std::chrono::milliseconds suspended_after{700};
    /// At each late tick the limit becomes this part of what is under way; at each that isn't it
    /// grows by `growth`.
    double decrease = 0.85;
    double growth = 0.05;
    std::size_t min_streams = 16;
    /// The same for new connections of callers in a tick: 40 a second on ticks of 100 ms, so that
    /// callers of all workspaces, and checks, still come in.
    double decrease_connections = 0.7;
    std::size_t min_connections = 4;
    /// A request that brings less than this part of the usual tokens for each event ...
    double low_yield = 0.5;
    /// ... is let in this often while the router is busy. With the processor as what is short, a
    /// workspace so gets more of its tokens through; none of its kinds of request starves.
    double low_yield_chance = 0.35;
};

/// What a stream is for, and what it costs a router to pass it on.
struct stream_effort
{
    /// Prompt and output.
    double tokens = 0;
    double events = 0;

    /// Tokens for each event's worth of work; reading, placing and sending a request takes a router
    /// some ten times what an event takes (130,000 to 13,000 instructions, callgrind).
    double yield() const
    {
        constexpr double request = 10;
        return tokens / (request + events);
    }
};

/// How many of something may be: lowered to a part of what there was at each tick that is late,
/// raised while it is reached and none is, gone after some seconds of neither.
class adaptive_limit
{
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    void lower(std::size_t taken, double decrease, std::size_t least);
    void raise(std::size_t taken, double growth);
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
    int calm_in_a_row_ = 0;
};

/// Keeps a router from taking more streams than its processor can pass on. A workspace's callers
/// may all hold on to one small VM and ask several times what it can carry; taken all, each waits
/// in the event loop until its caller leaves, and nobody is served. The measure is how late timers
/// fire, the only one that the process can see: its share of a processor isn't in its own clock.
///
/// New connections give way first: beyond the limits their requests are read only to be refused.
class overload_guard
{
public:
    explicit overload_guard(overload_options options = {});

    /// A regular timer fired so late, with so many streams under way.
    void record_tick(std::chrono::milliseconds late, std::size_t under_way);
    /// Counts a caller's new connection, with so many streams under way; whether the tick may take
    /// another.
    bool record_connection(std::size_t under_way);
    /// Whether one more may be taken, with so many under way; `draw` is uniform in [0, 1).
    bool admits(const stream_effort& of, std::size_t under_way, double draw);
    /// The processor is at its limit.
    bool overloaded() const
    {
        return streams_.is_set() || connections_.is_set();
    }
    std::size_t limit() const
    {
        return streams_.value();
    }

private:
    overload_options options_;
    adaptive_limit streams_;
    /// New connections of callers in a tick, and those that this one took.
    adaptive_limit connections_;
    std::size_t taken_ = 0;
    int late_in_a_row_ = 0;
    /// Moving mean of what is asked.
    double usual_yield_ = 0;
};

}  // namespace caraway::routing
