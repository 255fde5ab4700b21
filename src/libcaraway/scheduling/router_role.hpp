#pragma once

#include "libcaraway/scheduling/admission.hpp"
#include "libcaraway/scheduling/ask_planner.hpp"
#include "libcaraway/scheduling/attempt_table.hpp"
#include "libcaraway/scheduling/cost_estimator.hpp"
#include "libcaraway/scheduling/grant_receiver.hpp"
#include "libcaraway/scheduling/node_context.hpp"
#include "libcaraway/scheduling/prefix_affinity.hpp"
#include "libcaraway/scheduling/report_schedule.hpp"
#include "libcaraway/scheduling/request_queues.hpp"
#include "libcaraway/scheduling/retry_budget.hpp"
#include "libcaraway/scheduling/service_rate.hpp"
#include "libcaraway/scheduling/synced_demands.hpp"
#include "libcaraway/scheduling/totals_role.hpp"
#include "libcaraway/scheduling/upstream_health.hpp"

#include <map>
#include <optional>
#include <set>

namespace caraway::scheduling
{

/// This node's part as a router: keeps its callers' requests until an owner grants a slot, binds
/// them, and tells the owners what waits and what runs.
class router_role
{
public:
    router_role(node_context& context, totals_role& totals);

    /// Members or upstreams changed.
    void view_changed(base::time_point now);

    std::optional<rejection> submit(request incoming, base::time_point now);
    void cancel(base::request_number number, base::time_point now);
    void progress(base::request_number number, base::cost streamed);
    void finished(base::request_number number, base::cost total, attempt_result result,
                  base::time_point now);
    bool retry(base::request_number number, base::time_point now);

    void receive(const base::node_ref& owner, const grant_list& list, base::time_point now);
    /// Gives up what is too late and sends the reports that are due.
    void run(base::time_point now);
    std::optional<base::time_point> next_wakeup() const;

    void fill(scheduler_snapshot& out, base::time_point now) const;

private:
    enum class change
    {
        grew,
        shrank,
    };
    struct ended
    {
        request over;
        base::time_point until;
    };

    bool bind(const base::node_ref& owner, const grant& given, base::time_point now);
    void demand_changed(const account& key, change what, bool urgent, base::time_point now);
    void update_plan(const base::service_id& service, base::time_point now);
    std::optional<base::node_ref> affinity_owner(const base::service_id& service) const;
    void mark_holders(const base::upstream_id& upstream, const base::node_ref& granter,
                      base::time_point now);
    void settle(const attempt& over, base::cost total, attempt_result result, base::time_point now);
    void give_up_late(base::time_point now);
    void report_returned(base::time_point now);
    bool has_alternative(const base::service_id& service, const base::upstream_id& other,
                         base::time_point now) const;

    router_report make_report(const base::node_ref& owner, base::time_point now) const;
    std::vector<demand> demands_for(const base::node_ref& owner, base::time_point now) const;
    std::vector<holding> holdings_for(const base::node_ref& owner) const;
    void send_report(const base::node_ref& owner, base::time_point now);

    node_context& context_;
    totals_role& totals_;
    request_queues queues_;
    attempt_table attempts_;
    std::map<base::request_number, ended> ended_;
    ask_planner asks_;
    report_schedule reports_;
    synced_demands told_;
    grant_receiver grants_;
    cost_estimator estimator_;
    upstream_health health_;
    retry_budget budget_;
    service_rate rates_;
    admission admission_;
    prefix_affinity affinity_;
    std::map<base::upstream_id, base::node_ref> owners_;
    std::optional<base::time_point> next_return_;
};

}  // namespace caraway::scheduling
