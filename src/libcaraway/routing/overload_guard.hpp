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
    /// Whether one more may be taken.
    bool admits(std::size_t under_way) const
    {
        return under_way < limit_;
    }
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

    overload_options options_;
    std::size_t limit_ = unlimited;
    int late_in_a_row_ = 0;
    int calm_in_a_row_ = 0;
};

}  // namespace caraway::routing
