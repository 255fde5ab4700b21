#include "libcaraway/scheduling/service_rate.hpp"

#include <chrono>
#include <cmath>

namespace caraway::scheduling
{

namespace
{

constexpr double decay_time_s = 30;
constexpr double min_starts = 3;

}  // namespace

void service_rate::advance(meter& state, base::time_point now)
{
    if (state.backlogged)
    {
        const double elapsed = std::chrono::duration<double>(now - state.updated).count();
        const double retained = std::exp(-elapsed / decay_time_s);
        state.starts *= retained;
        state.seconds = state.seconds * retained + decay_time_s * (1 - retained);
    }
    state.updated = now;
}

void service_rate::record_backlog(const account& key, base::time_point now)
{
    auto& state = meters_[key];
    advance(state, now);
    state.backlogged = true;
}

void service_rate::record_start(const account& key, base::time_point now)
{
    auto& state = meters_[key];
    advance(state, now);
    state.starts += 1;
}

void service_rate::record_empty(const account& key, base::time_point now)
{
    auto& state = meters_[key];
    advance(state, now);
    state.backlogged = false;
}

std::optional<double> service_rate::rate(const account& key, base::time_point now) const
{
    const auto found = meters_.find(key);
    if (found == meters_.end())
    {
        return std::nullopt;
    }
    meter state = found->second;
    advance(state, now);
    if (state.starts < min_starts || state.seconds <= 0)
    {
        return std::nullopt;
    }
    return state.starts / state.seconds;
}

}  // namespace caraway::scheduling
