#pragma once

#include <chrono>

namespace caraway::base
{

/// Time point of this process's monotonic clock; not comparable between processes or VMs.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Source of time. Functions that take decisions receive time points as arguments; a class that has
/// to read the time itself holds a reference to a clock, so that tests can control the time.
class clock
{
public:
    virtual ~clock() = default;

    virtual time_point now() const = 0;
    /// Wall-clock time, for logs and display only. Decisions must not depend on wall-clock time.
    virtual std::chrono::system_clock::time_point wall_time() const = 0;
};

/// The operating system's clocks.
class machine_clock final : public clock
{
public:
    time_point now() const override
    {
        return std::chrono::steady_clock::now();
    }
    std::chrono::system_clock::time_point wall_time() const override
    {
        return std::chrono::system_clock::now();
    }
};

/// A clock for tests; its time changes only by `advance`.
class manual_clock final : public clock
{
public:
    time_point now() const override
    {
        return now_;
    }
    std::chrono::system_clock::time_point wall_time() const override
    {
        return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                now_.time_since_epoch()));
    }
    void advance(duration interval)
    {
        now_ += interval;
    }

private:
    time_point now_{std::chrono::hours(1)};
};

}  // namespace caraway::base
