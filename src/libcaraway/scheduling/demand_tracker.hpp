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

/// What each router told this owner last.
class demand_tracker
{
public:
    struct entry
    {
        router_report report;
        base::time_point received;
        /// When the demands were told; earlier than `received` where the report left them out.
        base::time_point demands_received;
    };

    /// False if it is not newer than what is known.
    bool record_report(const base::node_ref& router, const router_report& report,
                       base::time_point now);
    /// A router didn't answer: nothing more is granted to it until it reports again.
    void clear_demand(const base::node_ref& router);
    /// Routers that have something running but haven't said so for `age`; it is forgotten.
    std::vector<base::node_ref> expire(base::duration age, base::time_point now);
    void retain(const std::function<bool(const base::node_ref&)>& alive);

    /// Null if that router hasn't reported.
    const entry* find(const base::node_ref& router) const;
    const std::map<base::node_ref, entry>& all() const;
    std::vector<account> accounts_with_demand() const;
    bool has_demand(const base::service_id& service) const;
    std::uint32_t waiting(const account& key) const;

private:
    std::map<base::node_ref, entry> entries_;
};

}  // namespace caraway::scheduling
