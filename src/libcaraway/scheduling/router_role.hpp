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

/// The router role of this node: queues the requests of its callers until an owner grants a slot,
/// assigns them to slots, and reports waiting and running requests to the owners.
class router_role
{
public:
    router_role(node_context& context, totals_role& totals);

    /// Call after a change of members or upstreams.
    void view_changed(base::time_point now);

    /// Queues a request, or returns the reason why it is rejected.
    std::optional<rejection> submit(request incoming, base::time_point now);
    void cancel(base::request_number number, base::time_point now);
    /// Updates the charge of a running request; `streamed` is its cost so far.
    void progress(base::request_number number, base::cost streamed);
    /// An attempt has ended; `total` is its final cost.
    void finished(base::request_number number, base::cost total, attempt_result result,
                  base::time_point now);
    /// The upstream of a running request refused it and asked for a rest.
    void record_rest(base::request_number number, std::chrono::milliseconds rest,
                     base::time_point now);
    /// Queues a request again after a failed attempt. Returns false if a retry is not allowed: the
    /// retry window or the deadline has expired, or the retry budget is exhausted.
    bool retry(base::request_number number, base::time_point now);

    /// Handles the grants of an owner, and its announcement of free slots.
    void receive(const base::node_ref& owner, const grant_list& list, base::time_point now);
    /// Rejects queued requests whose deadline has expired and sends the reports that are due.
    void run(base::time_point now);
    std::optional<base::time_point> next_wakeup() const;

    /// Adds the state of this role to a snapshot.
    void fill(scheduler_snapshot& out, base::time_point now) const;

private:
    enum class change
    {
        grew,
        shrank,
    };
    struct ended_attempt
    {
        request ended_request;
        base::time_point retry_until;
    };

    bool bind(const base::node_ref& owner, const grant& offered, base::time_point now);
    void demand_changed(const account& key, change direction, bool urgent, base::time_point now);
    void update_plan(const base::service_id& service, base::time_point now);
    std::optional<base::node_ref> affinity_owner(const base::service_id& service) const;
    void mark_slot_owners(const base::upstream_id& upstream, const base::node_ref& granting_owner,
                          base::time_point now);
    void record_result(const attempt& ended, base::cost total, attempt_result result,
                       base::time_point now);
    void exclusions_changed(const base::upstream_id& upstream, base::time_point now);
    void expire_requests(base::time_point now);
    void report_recovered(base::time_point now);
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
    std::map<base::request_number, ended_attempt> ended_attempts_;
    ask_planner ask_planner_;
    report_schedule reports_;
    synced_demands synced_demands_;
    grant_receiver grant_receiver_;
    cost_estimator estimator_;
    upstream_health health_;
    retry_budget budget_;
    service_rate rates_;
    admission admission_;
    prefix_affinity affinity_;
    std::map<base::upstream_id, base::node_ref> owners_;
    std::optional<base::time_point> next_recovery_;
};

}  // namespace caraway::scheduling
