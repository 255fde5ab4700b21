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

/// Adds up the nodes' totals of the accounts for which this node was chosen, and lifts those that
/// come back from idling or fell too far behind.
class total_aggregator
{
public:
    total_aggregator(node_context& context, floor_tracker& floors);

    /// Takes in a report. Returns the sums that its sender wants or must know (a newer epoch);
    /// nothing if there are none or the report is old.
    std::optional<totals_reply> receive(const base::node_ref& from, const totals_report& report,
                                        base::time_point now);
    /// Members changed: what the dead have rendered is folded into new epochs.
    void view_changed(base::time_point now);

private:
    struct aggregate
    {
        std::uint32_t epoch = 0;
        base::cost lift;
        std::map<base::node_ref, base::cost> totals;
        std::optional<base::time_point> wanted_at;
        /// Set while the account has only just come back from idling.
        std::optional<base::time_point> opened_at;
    };

    bool merge(aggregate& each, const base::node_ref& from, const service_total& total);
    void note_wanted(aggregate& each, base::time_point now);
    void lift_if_behind(const account& key, aggregate& each, base::time_point now);
    void start_epoch(aggregate& each, base::cost lift);
    service_sum sum_for(const base::node_ref& to, const account& key, const aggregate& each) const;
    bool warm(base::time_point now);
    base::duration interval() const;
    void note_asked(const base::node_ref& by, base::time_point now);

    node_context& context_;
    floor_tracker& floors_;
    std::map<account, aggregate> accounts_;
    std::map<base::node_ref, std::uint64_t> sequences_;
    /// When each node asked last, to tell how many do.
    std::map<base::node_ref, base::time_point> askers_;
    std::optional<base::time_point> started_;
};

}  // namespace caraway::scheduling
