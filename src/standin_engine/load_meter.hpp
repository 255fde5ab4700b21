#pragma once

#include "libcaraway/base/clock.hpp"

#include <chrono>
#include <deque>

namespace standin_engine
{

/// How many requests run and wait at an instant.
struct load
{
    int running = 0;
    int waiting = 0;
};

/// Adds up the load over time, and tells the load of a while ago as engines report it late.
class load_meter
{
public:
    load_meter(const caraway::base::clock& clock, std::chrono::milliseconds lag);

    void set(load now);

    load current() const;
    /// The load one lag ago.
    load reported();
    /// Wall-clock instant that `reported` speaks of, in ms since 1970.
    long long reported_at_ms() const;

    /// Sums of running and of waiting requests times milliseconds.
    double busy_ms() const;
    double waiting_ms() const;
    double uptime_ms() const;

private:
    struct sample
    {
        caraway::base::time_point since;
        load value;
    };
    void forget_old();
    double since_last_change_ms() const;

    const caraway::base::clock& clock_;
    std::chrono::milliseconds lag_;
    caraway::base::time_point start_;
    std::deque<sample> samples_;
    double busy_ms_ = 0;
    double waiting_ms_ = 0;
};

}  // namespace standin_engine
