#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/scheduling/demand_tracker.hpp"
#include "libcaraway/scheduling/grant_sender.hpp"
#include "libcaraway/scheduling/node_context.hpp"
#include "libcaraway/scheduling/prefix_affinity.hpp"
#include "libcaraway/scheduling/slot_ledger.hpp"
#include "libcaraway/scheduling/totals_role.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// A free slot chosen for a waiting request.
struct pick
{
    base::node_ref router;
    base::upstream_id upstream;
    account key;
    base::cost estimate;
    std::uint64_t affinity = 0;
};

/// Chooses the receiver of the next slot of a service: the account with the lowest virtual time, of
/// its routers the one whose request has waited longest, and of the free upstreams the most
/// suitable one (cached prefix, then same zone, then most free slots).
class grant_picker
{
public:
    /// Whether an upstream may be offered to a router for an account.
    using offer_rule =
        std::function<bool(const base::node_ref&, const base::upstream_id&, const account&)>;

    grant_picker(const node_context& context, const totals_role& totals,
                 const demand_tracker& board, const grant_sender& sender, const slot_ledger& ledger,
                 const prefix_affinity& affinity);

    std::optional<pick> next(const base::service_id& service, const offer_rule& may_offer,
                             base::time_point now) const;

private:
    struct candidate
    {
        base::node_ref router;
        const demand* reported = nullptr;
        base::virtual_time virtual_now;
        double age_ms = 0;
    };

    std::vector<candidate> candidates(const base::service_id& service, base::time_point now) const;
    std::optional<base::upstream_id> best_upstream(const std::vector<base::upstream_id>& free,
                                                   const candidate& requester,
                                                   const offer_rule& may_offer) const;

    const node_context& context_;
    const totals_role& totals_;
    const demand_tracker& board_;
    const grant_sender& sender_;
    const slot_ledger& ledger_;
    const prefix_affinity& affinity_;
};

}  // namespace caraway::scheduling
