#include "libcaraway/routing/crash_tracker.hpp"

namespace caraway::routing
{

crash_tracker::crash_tracker(const crash_tracker_options& options)
    : options_(options), detector_(options.detector), suspects_(options.suspects),
      parts_(options.parts)
{
}

bool crash_tracker::refuses(attempts::request_fingerprint request, base::time_point now) const
{
    return suspects_.verdict(request, now) == attempts::crash_verdict::refuse;
}

std::optional<attempts::upstream_crash>
crash_tracker::record_lost(const attempts::upstream_incarnation& upstream,
                           attempts::request_fingerprint request,
                           const parts::part_fingerprints& parts, base::time_point now)
{
    const auto crashed = crashed_.find(upstream);
    const bool was_gone = crashed != crashed_.end() && now > crashed->second + options_.loss_spread;
    if (!parts.empty() && !was_gone)
    {
        auto& lost = lost_parts_.try_emplace(upstream, lost_parts{.first_lost = now}).first->second;
        lost.parts.insert(lost.parts.end(), parts.begin(), parts.end());
        lost.last_lost = now;
    }
    detector_.record_started(upstream, request);
    auto crash = detector_.record_connection_lost(upstream, request, now);
    if (crash)
    {
        attribute(*crash, now);
    }
    return crash;
}

std::optional<attempts::upstream_crash>
crash_tracker::record_refused_connection(const attempts::upstream_incarnation& upstream,
                                         base::time_point now)
{
    auto crash = detector_.record_unreachable(upstream, now);
    if (crash)
    {
        attribute(*crash, now);
    }
    return crash;
}

std::vector<attempts::upstream_crash>
crash_tracker::record_restarted(const attempts::upstream_incarnation& upstream,
                                base::time_point now)
{
    auto crashes = detector_.record_restarted(upstream, now);
    for (const auto& crash : crashes)
    {
        attribute(crash, now);
    }
    return crashes;
}

void crash_tracker::record_reachable(const attempts::upstream_incarnation& upstream)
{
    detector_.record_healthy(upstream);
    lost_parts_.erase(upstream);
    crashed_.erase(upstream);
}

void crash_tracker::record_completed(attempts::request_fingerprint request, base::time_point now)
{
    suspects_.record_completed(request, now);
}

std::vector<attempts::suspect_entry> crash_tracker::entries(base::time_point now) const
{
    return suspects_.entries(options_.max_digest_entries, now);
}

void crash_tracker::merge(const std::vector<attempts::suspect_entry>& peer_entries,
                          base::time_point now)
{
    suspects_.merge(peer_entries, now);
}

void crash_tracker::attribute(const attempts::upstream_crash& crash, base::time_point now)
{
    suspects_.record_crash(crash.upstream, crash.in_flight, false, now);
    const auto lost = lost_parts_.find(crash.upstream);
    if (lost == lost_parts_.end())
    {
        return;
    }
    crashed_.try_emplace(crash.upstream, lost->second.first_lost);
    parts_.record_crash(crash.upstream, lost->second.parts, lost->second.first_lost, now);
    lost_parts_.erase(lost);
}

void crash_tracker::expire(base::time_point now)
{
    std::erase_if(lost_parts_, [&](const auto& entry)
                  { return entry.second.last_lost + options_.detector.loss_retention <= now; });
    std::erase_if(crashed_, [&](const auto& entry)
                  { return entry.second + options_.crash_retention <= now; });
    detector_.expire(now);
    parts_.expire(now);
}

}  // namespace caraway::routing
