#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <functional>
#include <map>
#include <utility>

namespace caraway::scheduling
{

/// Charges for grants of an owner that the aggregated sums do not contain yet. A charge is removed
/// once the sums must contain it, or at once if its grant was declined, reclaimed or withdrawn.
class pending_charges
{
public:
    void add(const base::node_ref& router, base::grant_number number, const account& key,
             base::cost estimate, base::time_point now);
    void remove(const base::node_ref& router, base::grant_number number);
    /// Removes the charges that are older than `lifetime` returns for their account.
    void expire(const std::function<base::duration(const account&)>& lifetime,
                base::time_point now);

    base::cost total(const account& key) const;

private:
    struct charge
    {
        account key;
        base::cost estimate;
        base::time_point charged_at;
    };
    using charge_id = std::pair<base::node_ref, base::grant_number>;

    std::map<charge_id, charge>::iterator erase(std::map<charge_id, charge>::iterator position);

    std::map<charge_id, charge> charges_;
    std::map<account, base::cost> sums_;
};

}  // namespace caraway::scheduling
