#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/options.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// Schedules the reports to each owner: soon after a change, together with other changes; and again
/// while the report is not empty, in case one was lost.
class report_schedule
{
public:
    /// Reports to `self` use no network and are not delayed.
    report_schedule(const scheduler_options& options, base::node_ref self);

    /// A change that the owner must receive as soon as the minimum interval between reports allows.
    void mark_changed(const base::node_ref& owner, base::time_point now);
    /// A change that the owner should receive but that no request waits for.
    void mark_deferred(const base::node_ref& owner, base::time_point now);

    std::vector<base::node_ref> due(base::time_point now) const;
    /// Records that a report is sent now; returns its sequence number.
    std::uint64_t record_sent(const base::node_ref& owner, bool is_empty, base::time_point now);

    std::optional<base::time_point> next_wakeup() const;
    void retain(const std::function<bool(const base::node_ref&)>& alive);

private:
    struct peer
    {
        std::uint64_t sequence = 0;
        std::optional<base::time_point> last_sent;
        std::optional<base::time_point> due_at;
        /// True if the next report is due to a change, false if it only repeats the last one.
        bool changed = false;
        std::uint32_t empty_repeats = 0;
    };

    void mark_at(peer& state, base::time_point due_time);

    const scheduler_options& options_;
    base::node_ref self_;
    std::map<base::node_ref, peer> peers_;
};

}  // namespace caraway::scheduling
