#include "libcaraway/attempts/crash_detector.hpp"

#include <algorithm>

namespace caraway::attempts
{

namespace
{

/// Removes one of several equal ones; false if there is none.
bool remove_one(std::vector<request_fingerprint>& all, request_fingerprint value)
{
    const auto found = std::find(all.begin(), all.end(), value);
    if (found == all.end())
    {
        return false;
    }
    all.erase(found);
    return true;
}

}  // namespace

crash_detector::crash_detector(crash_detector_options options) : options_(options) {}

void crash_detector::record_started(const base::upstream_id& upstream,
                                    request_fingerprint fingerprint)
{
    upstreams_[upstream].in_flight.push_back(fingerprint);
}

void crash_detector::record_ended(const base::upstream_id& upstream,
                                  request_fingerprint fingerprint)
{
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end())
    {
        remove_one(found->second.in_flight, fingerprint);
    }
}

std::optional<upstream_crash>
crash_detector::record_connection_lost(const base::upstream_id& upstream,
                                       request_fingerprint fingerprint, base::time_point now)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || !remove_one(found->second.in_flight, fingerprint))
    {
        // Charged already: its connection broke after the crash was told.
        return std::nullopt;
    }
    auto& seen = found->second;
    std::erase_if(seen.lost,
                  [&](const loss& each) { return each.at + options_.loss_retention <= now; });
    seen.lost.push_back({.fingerprint = fingerprint, .at = now});
    const auto at_once =
        std::count_if(seen.lost.begin(), seen.lost.end(),
                      [&](const loss& each) { return each.at + options_.window > now; });
    const bool unreachable = seen.unreachable && *seen.unreachable + options_.loss_retention > now;
    if (!unreachable && static_cast<std::uint32_t>(at_once) < options_.min_simultaneous_losses)
    {
        return std::nullopt;
    }
    return report(upstream, seen);
}

std::optional<upstream_crash> crash_detector::record_unreachable(const base::upstream_id& upstream,
                                                                 base::time_point now)
{
    auto& seen = upstreams_[upstream];
    seen.unreachable = now;
    std::erase_if(seen.lost,
                  [&](const loss& each) { return each.at + options_.loss_retention <= now; });
    if (seen.lost.empty())
    {
        return std::nullopt;
    }
    return report(upstream, seen);
}

void crash_detector::record_healthy(const base::upstream_id& upstream)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end())
    {
        return;
    }
    found->second.lost.clear();
    found->second.unreachable.reset();
    if (found->second.in_flight.empty())
    {
        upstreams_.erase(found);
    }
}

upstream_crash crash_detector::report(const base::upstream_id& upstream, watch& seen)
{
    upstream_crash crash{.upstream = upstream, .in_flight = std::move(seen.in_flight)};
    for (const auto& each : seen.lost)
    {
        crash.in_flight.push_back(each.fingerprint);
    }
    std::sort(crash.in_flight.begin(), crash.in_flight.end());
    const auto repeated = std::unique(crash.in_flight.begin(), crash.in_flight.end());
    crash.in_flight.erase(repeated, crash.in_flight.end());
    seen = watch{};
    return crash;
}

}  // namespace caraway::attempts
