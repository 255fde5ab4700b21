#pragma once

#include "libcaraway/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace caraway::net
{

/// A pause that doubles with each attempt, drawn anew between half and one and a half times that,
/// so that hundreds of nodes don't come back at the same moment. `random` lies in [0, 1).
base::duration jittered_pause(std::uint32_t attempt, base::duration first, base::duration longest,
                              double random);

/// When a circuit breaker opens and how long it waits between probes.
struct breaker_options
{
    std::uint32_t failures_to_open = 5;
    base::duration first_pause = std::chrono::milliseconds(250);
    base::duration longest_pause = std::chrono::seconds(4);
};

/// A circuit breaker. Without it each operation on a dead platform costs a connection and its
/// whole timeout, and those that wait pile up; seen as a queue that grows while nothing is
/// answered. After a few failures in a row it opens: operations are refused at once, and only a
/// probe of our own goes out from time to time, until one is answered.
class platform_breaker
{
public:
    explicit platform_breaker(breaker_options options) : options_(options) {}

    bool open() const
    {
        return open_;
    }

    /// Something was answered; closes the breaker.
    void succeeded();
    /// An operation got no answer. Gives the pause before the first probe if this opens it.
    std::optional<base::duration> failed(double random);
    /// A probe got no answer. Gives the pause before the next, nothing if closed meanwhile.
    std::optional<base::duration> probe_failed(double random);

private:
    base::duration next_pause(double random);

    breaker_options options_;
    bool open_ = false;
    std::uint32_t failures_ = 0;
    std::uint32_t probes_ = 0;
};

}  // namespace caraway::net
