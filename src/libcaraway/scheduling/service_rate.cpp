#include "libcaraway/scheduling/service_rate.hpp"

#include <chrono>
#include <cmath>

namespace caraway::scheduling
{

namespace
{

constexpr double decay_seconds = 30;
constexpr double starts_needed = 3;

}  // namespace

void service_rate::advance(meter& each, base::time_point now)
{
    if (each.waiting)
    {
        const double passed = std::chrono::duration<double>(now - each.updated).count();
        const double kept = std::exp(-passed / decay_seconds);
        each.starts *= kept;
        each.seconds = each.seconds * kept + decay_seconds * (1 - kept);
    }
    each.updated = now;
}

void service_rate::record_backlog(const account& key, base::time_point now)
{
    auto& each = meters_[key];
    advance(each, now);
    each.waiting = true;
}

void service_rate::record_start(const account& key, base::time_point now)
{
    auto& each = meters_[key];
    advance(each, now);
    each.starts += 1;
}

void service_rate::record_empty(const account& key, base::time_point now)
{
    auto& each = meters_[key];
    advance(each, now);
    each.waiting = false;
}

std::optional<double> service_rate::rate(const account& key, base::time_point now) const
{
    const auto found = meters_.find(key);
    if (found == meters_.end())
    {
        return std::nullopt;
    }
    meter each = found->second;
    advance(each, now);
    if (each.starts < starts_needed || each.seconds <= 0)
    {
        return std::nullopt;
    }
    return each.starts / each.seconds;
}

}  // namespace caraway::scheduling
