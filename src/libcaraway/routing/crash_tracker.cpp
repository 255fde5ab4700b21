#include "libcaraway/routing/crash_tracker.hpp"

namespace caraway::routing
{

crash_tracker::crash_tracker(const crash_tracker_options& options)
    : options_(options), detector_(options.detector), suspects_(options.suspects)
{
}

bool crash_tracker::refuses(attempts::request_fingerprint request, base::time_point now) const
{
    return suspects_.verdict(request, now) == attempts::crash_verdict::refuse;
}

std::optional<attempts::upstream_crash>
crash_tracker::record_lost(const base::upstream_id& upstream, attempts::request_fingerprint request,
                           base::time_point now)
{
    detector_.record_started(upstream, request);
    auto crash = detector_.record_connection_lost(upstream, request, now);
    attribute(crash, now);
    return crash;
}

std::optional<attempts::upstream_crash>
crash_tracker::record_unreachable(const base::upstream_id& upstream, base::time_point now)
{
    auto crash = detector_.record_unreachable(upstream, now);
    attribute(crash, now);
    return crash;
}

std::optional<attempts::upstream_crash>
crash_tracker::record_restarted(const base::upstream_id& upstream, base::time_point now)
{
    auto crash = record_unreachable(upstream, now);
    detector_.record_healthy(upstream);
    return crash;
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

void crash_tracker::attribute(const std::optional<attempts::upstream_crash>& crash,
                              base::time_point now)
{
    if (crash)
    {
        suspects_.record_crash(crash->upstream, crash->in_flight, false, now);
    }
}

}  // namespace caraway::routing
