#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/shares/workspace_usage.hpp"

#include <array>
#include <cstdint>

namespace caraway::routing::shares
{

/// This router's counts of each workspace within a sliding window.
class usage_windows
{
    /// The window is dropped in buckets, so a count is at most an eighth of the window too old.
    static constexpr std::size_t bucket_count = 8;
    /// Buckets in which refusals count: the last second of a window of 4 s, as if they were spread
    /// evenly over the oldest of them. A workspace that waits is refused once a second or more
    /// often; one that was refused earlier may be served by now.
    static constexpr int refusal_buckets = 2;
    /// Buckets that the serving rate is taken from.
    static constexpr int rate_buckets = 3;

public:
    /// The part of the window in which refusals count.
    static constexpr double refusal_span =
        static_cast<double>(refusal_buckets) / static_cast<double>(bucket_count);

    explicit usage_windows(std::chrono::milliseconds window) : window_(window) {}

    /// Another length drops all counts.
    void set_window(std::chrono::milliseconds window);
    double window_seconds() const;

    /// The counts to which what happens now is added.
    workspace_usage& current(const base::workspace_id& id, base::time_point now);
    /// Sums over the window; forgets workspaces that have neither demanded nor been served.
    workspace_usages totals(base::time_point now);

private:
    struct sliding_window
    {
        std::array<workspace_usage, bucket_count> buckets{};
        std::int64_t newest_bucket = 0;
    };

    std::int64_t bucket_number(base::time_point now) const;
    workspace_usage total(sliding_window& counts, base::time_point now) const;
    double elapsed_part(base::time_point now) const;
    double recent_seconds(base::time_point now) const;
    static void advance(sliding_window& counts, std::int64_t bucket);

    std::chrono::milliseconds window_;
    std::map<base::workspace_id, sliding_window> by_workspace_;
};

}  // namespace caraway::routing::shares
