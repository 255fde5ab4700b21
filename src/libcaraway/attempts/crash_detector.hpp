#pragma once

#include "libcaraway/attempts/crash_suspects.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::attempts
{

/// A crash of an upstream, with the requests of this router that were in flight there.
struct upstream_crash
{
    upstream_incarnation upstream;
    std::vector<request_fingerprint> in_flight;

    friend bool operator==(const upstream_crash&, const upstream_crash&) = default;
};

struct crash_detector_options
{
    /// Number of connections lost within `window` that count as a crash on their own.
    std::uint32_t min_simultaneous_losses = 2;
    std::chrono::milliseconds window{500};
    /// How long a lost connection, or a failure to reach the upstream, is kept to be matched with
    /// the other.
    std::chrono::milliseconds loss_retention{5000};
};

/// Distinguishes the crash of an upstream from a single broken connection. Reports each crash once,
/// with all requests that were in flight at the upstream.
class crash_detector
{
public:
    explicit crash_detector(crash_detector_options options = {});

    void record_started(const upstream_incarnation& upstream, request_fingerprint fingerprint);
    /// Records the end of a request for any reason other than a lost connection.
    void record_ended(const upstream_incarnation& upstream, request_fingerprint fingerprint);
    /// Records that the connection was reset or closed before the complete answer. Returns the
    /// crash if one is detected.
    std::optional<upstream_crash> record_connection_lost(const upstream_incarnation& upstream,
                                                         request_fingerprint fingerprint,
                                                         base::time_point now);
    /// Records that a health check failed or that a new connection was refused. Together with a
    /// lost connection shortly before or after, this counts as a crash. Returns the crash if one is
    /// detected.
    std::optional<upstream_crash> record_unreachable(const upstream_incarnation& upstream,
                                                     base::time_point now);
    /// Records that this process runs under the id of an upstream, so that previous ones have
    /// ended. Those with connections lost shortly before crashed, and are returned.
    std::vector<upstream_crash> record_restarted(const upstream_incarnation& upstream,
                                                 base::time_point now);
    /// Records that a health check passed, so that earlier losses were single broken connections.
    void record_healthy(const upstream_incarnation& upstream);
    /// Evicts what is too old to be matched.
    void expire(base::time_point now);

    /// Number of upstreams of which something is kept.
    std::size_t size() const
    {
        return upstreams_.size();
    }

private:
    struct lost_request
    {
        request_fingerprint fingerprint{};
        base::time_point at;
    };
    struct upstream_state
    {
        std::vector<request_fingerprint> in_flight;
        std::vector<lost_request> lost;
        std::optional<base::time_point> unreachable;
    };

    bool has_expired(const upstream_state& state, base::time_point now) const;
    upstream_crash take_crash(const upstream_incarnation& upstream, upstream_state& state);

    crash_detector_options options_;
    std::map<upstream_incarnation, upstream_state> upstreams_;
};

}  // namespace caraway::attempts
