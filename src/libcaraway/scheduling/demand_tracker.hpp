#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace caraway::scheduling
{

/// The latest report of each router to this owner.
class demand_tracker
{
public:
    struct entry
    {
        router_report report;
        base::time_point received;
        /// When the demands were received; earlier than `received` if the latest report omitted
        /// them.
        base::time_point demands_received;
    };

    /// Returns false, and changes nothing, if the report is not newer than the recorded one.
    bool record_report(const base::node_ref& router, const router_report& report,
                       base::time_point now);
    /// For a router that did not answer: clears its demand, so that it is granted nothing until its
    /// next report.
    void clear_demand(const base::node_ref& router);
    /// Clears the demands and holdings of routers whose latest report is at least `age` old.
    /// Returns those routers that had any.
    std::vector<base::node_ref> expire(base::duration age, base::time_point now);
    /// Removes the routers for which `alive` returns false.
    void retain(const std::function<bool(const base::node_ref&)>& alive);

    /// Null if the router has not reported.
    const entry* find(const base::node_ref& router) const;
    const std::map<base::node_ref, entry>& all() const;
    /// Accounts for which a request waits at any router.
    std::vector<account> accounts_with_demand() const;
    bool has_demand(const base::service_id& service) const;
    /// Number of waiting requests of the account, summed over the reports of all routers.
    std::uint32_t waiting(const account& key) const;

private:
    std::map<base::node_ref, entry> entries_;
};

}  // namespace caraway::scheduling
