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
/// (of which it may be one) and says how far each account's virtual time has come.
class totals_role
{
public:
    explicit totals_role(node_context& context);

    void view_changed(base::time_point now);
    void receive(const base::node_ref& from, const totals_report& report, base::time_point now);
    void receive(const base::node_ref& from, const totals_reply& reply, base::time_point now);

    /// Service rendered through this node; negative to give back.
    void charge(const account& key, base::cost delta);
    pending_charges& pending();
    /// Sum of all nodes' service over the share; the floor where nothing is known. `with_pending`
    /// adds what this owner has granted and the sums don't hold yet.
    base::virtual_time virtual_now(const account& key, bool with_pending,
                                   base::time_point now) const;
    bool known(const account& key, base::time_point now) const;
    void note_granted(const account& key, base::time_point now);

    /// Sends what is due. `demanded` are the accounts that wait for a slot of this owner.
    void run(const std::vector<account>& demanded, base::time_point now);
    std::optional<base::time_point> next_wakeup() const;

    /// Fills in floors, and the accounts that are known or demanded.
    void fill(scheduler_snapshot& out, const std::vector<account>& demanded,
              base::time_point now) const;

private:
    /// What an aggregator is to be told and asked.
    struct errand
    {
        std::vector<account> changed;
        std::vector<account> wanted;
        bool urgent = false;
        /// Only kept informed in case it must stand in; that can wait.
        bool stand_in = true;
    };
    using errands = std::map<base::node_ref, errand>;

    base::duration interval(const account& key) const;
    base::duration charge_lag(const account& key) const;
    void anchor_unknown(const std::vector<account>& demanded, base::time_point now);
    void refresh(base::time_point now);
    errands collect(const std::vector<account>& demanded, base::time_point now) const;
    base::time_point due(const base::node_ref& aggregator, const errand& each) const;
    void send(const base::node_ref& aggregator, const errand& each, base::time_point now);

    node_context& context_;
    floor_tracker floors_;
    service_totals totals_;
    total_aggregator aggregator_;
    aggregator_links links_;
    pending_charges pending_;
    /// Where the virtual time of accounts without a known sum started. Taking the floor itself
    /// would let a single known account win every slot: each grant to it raises the floor, and with
    /// it all that it is compared with.
    std::map<account, base::virtual_time> anchors_;
    std::optional<base::time_point> next_send_;
    std::optional<base::time_point> next_refresh_;
    std::map<base::node_ref, std::uint64_t> reply_sequences_;
};

}  // namespace caraway::scheduling
