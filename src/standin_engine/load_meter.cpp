#include "standin_engine/load_meter.hpp"

namespace standin_engine
{

namespace
{

using milliseconds = std::chrono::duration<double, std::milli>;

}  // namespace

load_meter::load_meter(const caraway::base::clock& clock, std::chrono::milliseconds lag)
    : clock_(clock), lag_(lag), start_(clock.now())
{
    samples_.push_back({.since = start_, .value = {}});
}

void load_meter::set(load now)
{
    const double elapsed = since_last_change_ms();
    busy_ms_ += elapsed * current().running;
    waiting_ms_ += elapsed * current().waiting;
    samples_.push_back({.since = clock_.now(), .value = now});
    forget_old();
}

load load_meter::current() const
{
    return samples_.back().value;
}

load load_meter::reported()
{
    forget_old();
    return samples_.front().value;
}

long long load_meter::reported_at_ms() const
{
    const auto then = clock_.wall_time() - lag_;
    return std::chrono::duration_cast<std::chrono::milliseconds>(then.time_since_epoch()).count();
}

double load_meter::busy_ms() const
{
    return busy_ms_ + since_last_change_ms() * current().running;
}

double load_meter::waiting_ms() const
{
    return waiting_ms_ + since_last_change_ms() * current().waiting;
}

double load_meter::uptime_ms() const
{
    return milliseconds(clock_.now() - start_).count();
}

void load_meter::forget_old()
{
    const auto then = clock_.now() - lag_;
    while (samples_.size() > 1 && samples_[1].since <= then)
    {
        samples_.pop_front();
    }
}

double load_meter::since_last_change_ms() const
{
    return milliseconds(clock_.now() - samples_.back().since).count();
}

}  // namespace standin_engine
