#pragma once

#include "libcaraway/attempts/crash_detector.hpp"
#include "libcaraway/attempts/crash_suspects.hpp"

#include <limits>

namespace caraway::routing
{

struct crash_tracker_options
{
    /// Broken connections alone are no crash here: upstreams reset single answers, and refuse
    /// connections beyond their limit, while they live. A new connection that is refused soon after
    /// is what tells that the process is gone.
    attempts::crash_detector_options detector{.lost_at_once =
                                                  std::numeric_limits<std::uint32_t>::max()};
    /// Three crashes, not two: several upstreams at once are lost to racks and releases here, and
    /// a request that merely ran on two of them isn't to be refused. The platform lets a request
    /// reach upstreams up to its third crash and three times after.
    attempts::crash_options suspects{.refuse_at = 3,
                                     .always_refuse_at = 3,
                                     .suspect_for = std::chrono::seconds(120),
                                     .refuse_for = std::chrono::seconds(300)};
    /// Entries in one digest: 30 bytes each, and few requests are suspects at a time.
    std::size_t told = 16;
};

/// Finds requests that crash each upstream that runs them, over the whole fleet, and has them
/// refused. Costs nothing while nothing crashes: a request is hashed only when it was lost, or
/// while there are suspects that it could be.
///
/// Suspects run like others until they are refused: keeping all that ran beside a crash in
/// quarantine would hold up some thirty requests for each that is to blame.
class crash_tracker
{
public:
    explicit crash_tracker(const crash_tracker_options& options = {});

    /// Whether any request is under suspicion; else none needs a fingerprint.
    bool has_suspects() const
    {
        return suspects_.size() > 0;
    }
    bool refuses(attempts::request_fingerprint request, base::time_point now) const;

    /// The connection to the upstream ended before the whole answer came. The crash, if this is
    /// known to be one.
    std::optional<attempts::upstream_crash> record_lost(const base::upstream_id& upstream,
                                                        attempts::request_fingerprint request,
                                                        base::time_point now);
    /// A new connection was refused or not made.
    std::optional<attempts::upstream_crash> record_unreachable(const base::upstream_id& upstream,
                                                               base::time_point now);
    /// Another process runs under its id. With connections lost there shortly before, the one
    /// before crashed; what comes after says nothing of it.
    std::optional<attempts::upstream_crash> record_restarted(const base::upstream_id& upstream,
                                                             base::time_point now);
    /// A request had its whole answer.
    void record_completed(attempts::request_fingerprint request, base::time_point now);

    /// What the other routers are told, and what they told.
    std::vector<attempts::suspect_entry> entries(base::time_point now) const;
    void merge(const std::vector<attempts::suspect_entry>& others, base::time_point now);

private:
    void charge(const std::optional<attempts::upstream_crash>& crash, base::time_point now);

    crash_tracker_options options_;
    attempts::crash_detector detector_;
    attempts::crash_suspects suspects_;
};

}  // namespace caraway::routing
