#pragma once

#include "libcaraway/attempts/crash_suspects.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::attempts
{

/// An upstream crashed while it ran these requests of this router.
struct upstream_crash
{
    base::upstream_id upstream;
    std::vector<request_fingerprint> in_flight;

    friend bool operator==(const upstream_crash&, const upstream_crash&) = default;
};

struct crash_detector_options
{
    /// Connections lost within the window that make a crash by themselves.
    std::uint32_t min_simultaneous_losses = 2;
    std::chrono::milliseconds window{500};
    /// Losses that a later failed health check can still turn into a crash.
    std::chrono::milliseconds loss_retention{5000};
};

/// Tells an upstream's crash from a single broken connection, and whom to charge, once a crash:
/// all that was in flight there.
class crash_detector
{
public:
    explicit crash_detector(crash_detector_options options = {});

    void record_started(const base::upstream_id& upstream, request_fingerprint fingerprint);
    /// Ended other than by a lost connection.
    void record_ended(const base::upstream_id& upstream, request_fingerprint fingerprint);
    /// Its connection was reset or closed before its whole answer.
    std::optional<upstream_crash> record_connection_lost(const base::upstream_id& upstream,
                                                         request_fingerprint fingerprint,
                                                         base::time_point now);
    /// A health check failed or a new connection was refused. A crash together with a loss shortly
    /// before; else a loss shortly after makes one.
    std::optional<upstream_crash> record_unreachable(const base::upstream_id& upstream,
                                                     base::time_point now);
    /// A health check passed: earlier losses were of single connections.
    void record_healthy(const base::upstream_id& upstream);

private:
    struct loss
    {
        request_fingerprint fingerprint{};
        base::time_point at;
    };
    struct watch
    {
        std::vector<request_fingerprint> in_flight;
        std::vector<loss> lost;
        std::optional<base::time_point> unreachable;
    };

    upstream_crash report(const base::upstream_id& upstream, watch& seen);

    crash_detector_options options_;
    std::map<base::upstream_id, watch> upstreams_;
};

}  // namespace caraway::attempts
