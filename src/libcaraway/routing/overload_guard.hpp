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
    std::chrono::milliseconds target{20};
    /// Ticks in a row that must be late: a configuration of hundreds of routes takes one, and is
    /// no overload.
    int late_ticks = 3;
    /// A tick so late is a VM that stood still, not one that has too much to do.
    std::chrono::milliseconds stood_still{700};
    /// At each late tick the limit becomes this part of what is under way; at each that isn't it
    /// grows by `growth`. Halving took a VM of 0.12 cores below what it could carry each second.
    double decrease = 0.85;
    double growth = 0.05;
    std::size_t least = 16;
    /// The same for new connections of callers in a tick: 40 a second on ticks of 100 ms, so that
    /// callers of all workspaces, and checks, still come in.
    std::size_t least_connections = 4;
    /// A request that brings less than this part of the usual tokens for each event ...
    double poor = 0.5;
    /// ... is let in this often while the router is busy. With the processor as what is short, a
    /// workspace so gets more of its tokens through; none of its kinds of request starves.
    double poor_chance = 0.35;
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

/// Keeps a router from taking more streams than its processor can pass on. A workspace's callers
/// may all hold on to one small VM and ask several times what it can carry; taken all, each waits
/// in the event loop until its caller leaves, and nobody is served. The measure is how late timers
/// fire, the only one that the process can see: its share of a processor isn't in its own clock.
class overload_guard
{
public:
    explicit overload_guard(overload_options options = {});

    /// A regular timer fired so late, with so many streams under way.
    void note_tick(std::chrono::milliseconds late, std::size_t under_way);
    /// Counts a caller's new connection; whether the tick may take another. A router at its limit
    /// reads and refuses a thousand requests a second of callers who come back to it whatever they
    /// are told; on 0.12 cores that takes the processor from the streams that it has.
    bool take_connection();
    /// Whether one more may be taken, with so many under way; `draw` is uniform in [0, 1).
    bool admits(const stream_effort& of, std::size_t under_way, double draw);
    /// The processor is at its limit.
    bool busy() const
    {
        return limit_ != unlimited;
    }
    std::size_t limit() const
    {
        return limit_;
    }

private:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// At the end of a tick that was late or not.
    void limit_connections(bool late);

    overload_options options_;
    std::size_t limit_ = unlimited;
    /// New connections of callers that a tick may take, and those that this one took.
    std::size_t connection_limit_ = unlimited;
    std::size_t connections_ = 0;
    int late_in_a_row_ = 0;
    int calm_in_a_row_ = 0;
    /// Moving mean of what is asked.
    double usual_yield_ = 0;
};

}  // namespace caraway::routing
