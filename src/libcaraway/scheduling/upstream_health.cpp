#include "libcaraway/scheduling/upstream_health.hpp"

#include <algorithm>

namespace caraway::scheduling
{

namespace
{

/// Number of doublings after which the back-off stays constant; keeps the shift in range.
constexpr std::uint32_t max_exponent = 16;

}  // namespace

upstream_health::upstream_health(const scheduler_options& options) : options_(options) {}

bool upstream_health::record_result(const base::upstream_id& upstream, attempt_result result,
                                    const std::vector<base::upstream_id>& peers,
                                    base::time_point now)
{
    if (result == attempt_result::overloaded && rests_.is_resting(upstream, now))
    {
        return false;
    }
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
    auto& entry = records_[upstream];
    ++entry.failures;
    const bool probed = entry.ejected_until.has_value() && *entry.ejected_until <= now;
    const bool connection_failed = result == attempt_result::unreachable;
    if (ejected(upstream, now) || !may_eject(peers, now))
    {
        return false;
    }
    if (result == attempt_result::overloaded)
    {
        // The upstream is healthy but overloaded: a short ejection that does not grow.
        entry.ejected_until = now + options_.ejection_base / 2;
        return true;
    }
    return (connection_failed || probed || entry.failures >= options_.ejection_failures) &&
           eject(entry, options_.ejection_base, now);
}

bool upstream_health::eject(record& entry, base::duration base_time, base::time_point now)
{
    const auto factor = 1U << std::min(entry.ejections, max_exponent);
    const base::duration max_duration = options_.ejection_max;
    entry.ejected_until = now + std::min(base_time * factor, max_duration);
    ++entry.ejections;
    return true;
}

bool upstream_health::ejected(const base::upstream_id& upstream, base::time_point now) const
{
    const auto found = records_.find(upstream);
    return found != records_.end() && found->second.ejected_until &&
           *found->second.ejected_until > now;
}

bool upstream_health::usable(const base::upstream_id& upstream, base::slots held,
                             base::time_point now) const
{
    if (!rests_.may_send(upstream, now))
    {
        return false;
    }
    const auto found = records_.find(upstream);
    if (found == records_.end() || !found->second.ejected_until)
    {
        return true;
    }
    return *found->second.ejected_until <= now && held == 0;
}

std::optional<base::time_point> upstream_health::next_exclusion_end(base::time_point now) const
{
    auto next = rests_.next_end(now);
    for (const auto& [upstream, entry] : records_)
    {
        if (entry.ejected_until && *entry.ejected_until > now &&
            (!next || *entry.ejected_until < *next))
        {
            next = entry.ejected_until;
        }
    }
    return next;
}

void upstream_health::retain(const std::vector<base::upstream_id>& upstreams)
{
    std::erase_if(
        records_, [&](const auto& entry)
        { return std::find(upstreams.begin(), upstreams.end(), entry.first) == upstreams.end(); });
}

bool upstream_health::may_eject(const std::vector<base::upstream_id>& peers,
                                base::time_point now) const
{
    const auto ejected_count = std::count_if(peers.begin(), peers.end(),
                                             [&](const auto& peer) { return ejected(peer, now); });
    return static_cast<double>(ejected_count + 1) <=
           options_.max_ejected_fraction * static_cast<double>(peers.size());
}

}  // namespace caraway::scheduling
