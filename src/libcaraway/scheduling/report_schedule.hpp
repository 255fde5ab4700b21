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

/// When to report to which owner: soon after a change, together with what else changes; again while
/// there is something to say, in case a report was lost.
class report_schedule
{
public:
    /// Reports to `self` cost nothing and don't wait.
    report_schedule(const scheduler_options& options, base::node_ref self);

    /// The owner must learn of a change as soon as reports may follow each other.
    void mark_changed(const base::node_ref& owner, base::time_point now);
    /// The owner should learn of a change, but nothing waits for it.
    void mark_deferred(const base::node_ref& owner, base::time_point now);

    std::vector<base::node_ref> due(base::time_point now) const;
    /// A report is sent now; returns its sequence number.
    std::uint64_t record_sent(const base::node_ref& owner, bool empty, base::time_point now);

    std::optional<base::time_point> next_wakeup() const;
    void retain(const std::function<bool(const base::node_ref&)>& alive);

private:
    struct peer
    {
        std::uint64_t sequence = 0;
        std::optional<base::time_point> last_sent;
        std::optional<base::time_point> due_at;
        /// Sent because of a change rather than to refresh.
        bool changed = false;
        std::uint32_t empty_repeats = 0;
    };

    void mark_at(peer& each, base::time_point when);

    const scheduler_options& options_;
    base::node_ref self_;
    std::map<base::node_ref, peer> peers_;
};

}  // namespace caraway::scheduling
