#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/scheduling/floor_tracker.hpp"
#include "libcaraway/scheduling/messages.hpp"
#include "libcaraway/scheduling/node_context.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// Adds up the nodes' totals of the accounts for which this node was chosen, and lifts accounts
/// that resume after idling or lag too far.
class total_aggregator
{
public:
    total_aggregator(node_context& context, floor_tracker& floors);

    /// Merges a report. Returns the sums that its sender requested or has an older epoch or lift
    /// of; nothing if there are none or the report is not newer than the last one.
    std::optional<totals_reply> receive(const base::node_ref& sender, const totals_report& report,
                                        base::time_point now);
    /// Call after members have changed. Service rendered by dead members is folded into the lift of
    /// new epochs.
    void view_changed(base::time_point now);

private:
    struct aggregate
    {
        std::uint32_t epoch = 0;
        base::cost lift;
        std::map<base::node_ref, base::cost> totals;
        std::optional<base::time_point> wanted_at;
        /// Set while the account has only recently resumed after idling.
        std::optional<base::time_point> resumed_at;
    };

    bool merge(aggregate& state, const base::node_ref& sender, const service_total& total);
    void record_wanted(aggregate& state, base::time_point now);
    void lift_if_behind(const account& key, aggregate& state, base::time_point now);
    void start_epoch(aggregate& state, base::cost lift);
    service_sum sum_for(const base::node_ref& to, const account& key, const aggregate& state) const;
    bool is_warmed_up(base::time_point now);
    base::duration interval() const;
    void record_requester(const base::node_ref& requester, base::time_point now);

    node_context& context_;
    floor_tracker& floors_;
    std::map<account, aggregate> accounts_;
    std::map<base::node_ref, std::uint64_t> sequences_;
    /// Time at which each node last asked, to count the requesters.
    std::map<base::node_ref, base::time_point> requesters_;
    std::optional<base::time_point> started_;
};

}  // namespace caraway::scheduling
