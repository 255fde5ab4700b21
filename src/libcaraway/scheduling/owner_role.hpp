#pragma once

#include "libcaraway/scheduling/demand_tracker.hpp"
#include "libcaraway/scheduling/grant_picker.hpp"
#include "libcaraway/scheduling/grant_sender.hpp"
#include "libcaraway/scheduling/node_context.hpp"
#include "libcaraway/scheduling/prefix_affinity.hpp"
#include "libcaraway/scheduling/slot_ledger.hpp"
#include "libcaraway/scheduling/totals_role.hpp"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace caraway::scheduling
{

/// The owner side of this node: grants the free slots of its upstreams to waiting requests.
class owner_role
{
public:
    owner_role(node_context& context, totals_role& totals);

    /// Call after members or upstreams have changed.
    void view_changed(base::time_point now);
    void receive(const base::node_ref& router, const router_report& report, base::time_point now);
    void observe_load(const base::upstream_id& upstream, base::slots running, base::slots waiting,
                      base::duration age, base::time_point now);

    /// Grants free slots and sends the messages that are due.
    void run(base::time_point now);
    std::optional<base::time_point> next_wakeup() const;

    /// Accounts with requests that wait for a slot of this owner.
    std::vector<account> demanded() const;
    void fill(scheduler_snapshot& snapshot, base::time_point now) const;

private:
    using offer = std::tuple<base::node_ref, base::upstream_id, account>;

    void acknowledge(const base::node_ref& router, const router_report& report,
                     base::time_point now);
    void release_grant(const base::node_ref& router, const grant& given);
    void expire_stale(base::time_point now);
    void grant_free_slots(base::time_point now);
    bool may_offer(const base::node_ref& router, const base::upstream_id& upstream,
                   const account& key, base::time_point now) const;
    void send_grants(base::time_point now);
    void send_hints(base::time_point now);
    std::vector<free_slots> current_free_slots() const;
    bool asked_by_subset() const;

    node_context& context_;
    totals_role& totals_;
    demand_tracker board_;
    slot_ledger ledger_;
    grant_sender sender_;
    prefix_affinity affinity_;
    grant_picker picker_;
    /// Offers that a router declined although it had waiting requests, and the time until which
    /// they are not repeated.
    std::map<offer, base::time_point> declined_;
    base::time_point next_hint_;
};

}  // namespace caraway::scheduling
