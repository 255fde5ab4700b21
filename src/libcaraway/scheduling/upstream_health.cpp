#include "libcaraway/scheduling/upstream_health.hpp"

#include <algorithm>

namespace caraway::scheduling
{

namespace
{

/// Doublings after which the back-off stays what it is; keeps the shift in range.
constexpr std::uint32_t largest_exponent = 16;

}  // namespace

upstream_health::upstream_health(const scheduler_options& options) : options_(options) {}

bool upstream_health::record_result(const base::upstream_id& upstream, attempt_result result,
                                    const std::vector<base::upstream_id>& peers,
                                    base::time_point now)
{
    switch (result)
    {
    case attempt_result::done:
        return records_.erase(upstream) > 0;
    case attempt_result::refused:
    case attempt_result::cancelled:
        return false;
    case attempt_result::unreachable:
    case attempt_result::overloaded:
    case attempt_result::failed:
        break;
    }
    auto& each = records_[upstream];
    ++each.failures;
    const bool probed = each.until.has_value() && *each.until <= now;
    const bool certain = result == attempt_result::unreachable;
    if (ejected(upstream, now) || !may_eject(peers, now))
    {
        return false;
    }
    if (result == attempt_result::overloaded)
    {
        // It works, it is only full: a short pause that doesn't grow.
        each.until = now + options_.ejection_base / 2;
        return true;
    }
    return (certain || probed || each.failures >= options_.ejection_failures) &&
           eject(each, options_.ejection_base, now);
}

bool upstream_health::eject(record& each, base::duration base_time, base::time_point now)
{
    const auto factor = 1U << std::min(each.ejections, largest_exponent);
    const base::duration longest = options_.ejection_max;
    each.until = now + std::min(base_time * factor, longest);
    ++each.ejections;
    return true;
}

bool upstream_health::ejected(const base::upstream_id& upstream, base::time_point now) const
{
    const auto found = records_.find(upstream);
    return found != records_.end() && found->second.until && *found->second.until > now;
}

bool upstream_health::usable(const base::upstream_id& upstream, base::slots held,
                             base::time_point now) const
{
    const auto found = records_.find(upstream);
    if (found == records_.end() || !found->second.until)
    {
        return true;
    }
    return *found->second.until <= now && held == 0;
}

std::optional<base::time_point> upstream_health::next_ejection_end(base::time_point now) const
{
    std::optional<base::time_point> next;
    for (const auto& [upstream, each] : records_)
    {
        if (each.until && *each.until > now && (!next || *each.until < *next))
        {
            next = each.until;
        }
    }
    return next;
}

void upstream_health::retain(const std::vector<base::upstream_id>& upstreams)
{
    std::erase_if(
        records_, [&](const auto& each)
        { return std::find(upstreams.begin(), upstreams.end(), each.first) == upstreams.end(); });
}

bool upstream_health::may_eject(const std::vector<base::upstream_id>& peers,
                                base::time_point now) const
{
    const auto out = std::count_if(peers.begin(), peers.end(),
                                   [&](const auto& each) { return ejected(each, now); });
    return static_cast<double>(out + 1) <=
           options_.max_ejected_fraction * static_cast<double>(peers.size());
}

}  // namespace caraway::scheduling
