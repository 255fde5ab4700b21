#pragma once

#include "libcaraway/scheduling/aggregator_links.hpp"
#include "libcaraway/scheduling/floor_tracker.hpp"
#include "libcaraway/scheduling/node_context.hpp"
#include "libcaraway/scheduling/pending_charges.hpp"
#include "libcaraway/scheduling/service_totals.hpp"
#include "libcaraway/scheduling/total_aggregator.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// This node's part in counting service: keeps its own totals, exchanges them with the aggregators
/// (this node may be one of them), and computes the virtual time of each account.
class totals_role
{
public:
    explicit totals_role(node_context& context);

    void view_changed(base::time_point now);
    void receive(const base::node_ref& sender, const totals_report& report, base::time_point now);
    void receive(const base::node_ref& sender, const totals_reply& reply, base::time_point now);

    /// Adds service rendered through this node; a negative `delta` refunds.
    void charge(const account& key, base::cost delta);
    pending_charges& pending();
    /// Virtual time of an account: the sum of all nodes' service divided by the share, or the
    /// service floor if no recent sum is known. `include_pending` adds what this owner has granted
    /// and the sums do not contain yet.
    base::virtual_time virtual_now(const account& key, bool include_pending,
                                   base::time_point now) const;
    bool known(const account& key, base::time_point now) const;
    void record_granted(const account& key, base::time_point now);

    /// Sends the messages that are due. `demanded` holds the accounts that wait for a slot of this
    /// owner.
    void run(const std::vector<account>& demanded, base::time_point now);
    std::optional<base::time_point> next_wakeup() const;

    /// Adds the floors and all known or demanded accounts to `snapshot`.
    void fill(scheduler_snapshot& snapshot, const std::vector<account>& demanded,
              base::time_point now) const;

private:
    /// Content of the next report to one aggregator.
    struct outgoing_report
    {
        std::vector<account> changed;
        std::vector<account> wanted;
        bool urgent = false;
        /// True if the report only keeps the standby aggregator up to date; such a report can wait.
        bool standby = true;
    };
    using outgoing_reports = std::map<base::node_ref, outgoing_report>;

    base::duration interval(const account& key) const;
    base::duration charge_lag(const account& key) const;
    void anchor_unknown(const std::vector<account>& demanded, base::time_point now);
    void refresh(base::time_point now);
    outgoing_reports collect(const std::vector<account>& demanded, base::time_point now) const;
    base::time_point due(const base::node_ref& aggregator, const outgoing_report& outgoing) const;
    void send(const base::node_ref& aggregator, const outgoing_report& outgoing,
              base::time_point now);

    node_context& context_;
    floor_tracker floors_;
    service_totals totals_;
    total_aggregator aggregator_;
    aggregator_links links_;
    pending_charges pending_;
    /// Virtual time at which accounts without a known sum started. With the floor itself instead, a
    /// single known account would win every slot: each grant to the known account raises the floor,
    /// and with the floor the virtual time of all accounts it is compared with.
    std::map<account, base::virtual_time> anchors_;
    std::optional<base::time_point> next_send_;
    std::optional<base::time_point> next_refresh_;
    std::map<base::node_ref, std::uint64_t> reply_sequences_;
};

}  // namespace caraway::scheduling
