#pragma once

#include "libcaraway/attempts/crash_detector.hpp"
#include "libcaraway/attempts/crash_suspects.hpp"
#include "libcaraway/routing/parts/part_suspects.hpp"

#include <limits>

namespace caraway::routing
{

struct crash_tracker_options
{
    /// Lost connections alone do not count as a crash: running upstreams reset single answers and
    /// refuse connections beyond their limit. A crash is assumed only if a new connection is
    /// refused as well, shortly before or after.
    attempts::crash_detector_options detector{.min_simultaneous_losses =
                                                  std::numeric_limits<std::uint32_t>::max()};
    /// Three crashes, not two: rack failures and releases take down several upstreams at once, and
    /// a request that merely ran on two of them must not be refused. The platform lets a request
    /// reach upstreams up to its third crash and three times after.
    attempts::crash_options suspects{.refusal_threshold = 3,
                                     .unconditional_refusal_threshold = 3,
                                     .suspect_lifetime = std::chrono::seconds(120),
                                     .refusal_duration = std::chrono::seconds(300)};
    /// Entries in one digest, of 30 bytes each; few requests are suspects at a time.
    std::size_t max_digest_entries = 16;
    parts::part_suspect_options parts{};
    /// Connections to a crashed upstream are lost within this time; larger than the delays of a
    /// network.
    std::chrono::milliseconds loss_spread{200};
    std::chrono::seconds crash_retention{10};
};

/// Detects requests that crash every upstream that runs them, across the fleet, and decides when
/// such a request is refused. No cost without crashes: a request is hashed only if its connection
/// was lost, or while there are suspects it could match.
///
/// Suspects run like other requests until they are refused: quarantining all requests that were in
/// flight during a crash would delay some thirty requests for each one that caused it.
///
/// Parts of prompts that crash upstreams in requests no two alike are found beside them, from the
/// same crashes.
class crash_tracker
{
public:
    explicit crash_tracker(const crash_tracker_options& options = {});

    /// Whether any request is a suspect; if not, no request needs a fingerprint.
    bool has_suspects() const
    {
        return suspects_.size() > 0;
    }
    bool refuses(attempts::request_fingerprint request, base::time_point now) const;
    /// How long a request is refused after its last crash.
    std::chrono::milliseconds refusal_duration() const
    {
        return options_.suspects.refusal_duration;
    }
    const parts::part_suspects& parts() const
    {
        return parts_;
    }

    /// Records that the connection to the upstream ended before the answer was complete. `parts`
    /// are those of the request's prompt, if its answer had at most begun. Returns the crash if one
    /// is detected.
    std::optional<attempts::upstream_crash>
    record_lost(const attempts::upstream_incarnation& upstream,
                attempts::request_fingerprint request, const parts::part_fingerprints& parts,
                base::time_point now);
    /// Records that a new connection was refused. One that is not answered is no evidence: links
    /// are cut, too. Returns the crash if one is detected.
    std::optional<attempts::upstream_crash>
    record_refused_connection(const attempts::upstream_incarnation& upstream, base::time_point now);
    /// Records that this process runs under the id of an upstream. Previous ones at which
    /// connections were lost shortly before crashed, and are returned.
    std::vector<attempts::upstream_crash>
    record_restarted(const attempts::upstream_incarnation& upstream, base::time_point now);
    /// Records that the complete answer of a request was received.
    void record_completed(attempts::request_fingerprint request, base::time_point now);
    /// Records that an answer to a request with these parts began at `began`, and went on.
    void record_sound(const parts::part_fingerprints& parts, base::time_point began)
    {
        parts_.record_sound(parts, began);
    }
    /// Records that the upstream accepts connections, so that the connections lost there before
    /// were single ones.
    void record_reachable(const attempts::upstream_incarnation& upstream);

    /// Suspects for the digest to the other routers, at most `max_digest_entries`.
    std::vector<attempts::suspect_entry> entries(base::time_point now) const;
    std::vector<parts::part_evidence> part_entries(base::time_point now) const
    {
        return parts_.entries(now);
    }
    /// Adds the suspects from the digest of another router.
    void merge(const std::vector<attempts::suspect_entry>& peer_entries, base::time_point now);
    void merge(const std::vector<parts::part_evidence>& peer_entries, base::time_point now)
    {
        parts_.merge(peer_entries, now);
    }
    void expire(base::time_point now);

private:
    /// Parts of the requests lost at one upstream, not yet known to have crashed.
    struct lost_parts
    {
        parts::part_fingerprints parts;
        base::time_point first_lost{};
        base::time_point last_lost{};
    };

    /// Counts a crash against the requests that were in flight, and their parts.
    void attribute(const attempts::upstream_crash& crash, base::time_point now);

    crash_tracker_options options_;
    attempts::crash_detector detector_;
    attempts::crash_suspects suspects_;
    parts::part_suspects parts_;
    std::map<attempts::upstream_incarnation, lost_parts> lost_parts_;
    /// When upstreams crashed. What is lost there later was sent to a process that is gone.
    std::map<attempts::upstream_incarnation, base::time_point> crashed_;
};

}  // namespace caraway::routing
