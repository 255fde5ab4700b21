#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/scheduling/request.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// A request that has been assigned to a granted slot.
struct attempt
{
    request bound;
    base::upstream_id upstream;
    base::node_ref owner;
    base::grant_number grant{};
    base::cost estimate;
    /// Cost charged to the account so far, including the advance.
    base::cost charged;
    base::time_point started;
    bool cancelled = false;
};

/// The attempts in flight, and their number per upstream.
class attempt_table
{
public:
    void add(attempt started);
    /// Null if the request has no attempt in flight.
    attempt* find(base::request_number number);
    std::optional<attempt> remove(base::request_number number);

    /// Number of attempts in flight at the upstream.
    base::slots held(const base::upstream_id& upstream) const;
    /// Number of attempts in flight per upstream that run by a grant of the owner.
    std::map<base::upstream_id, base::slots> granted_by(const base::node_ref& owner) const;
    const std::map<base::upstream_id, base::slots>& held() const;
    const std::map<base::request_number, attempt>& all() const;

private:
    std::map<base::request_number, attempt> attempts_;
    std::map<base::upstream_id, base::slots> held_;
};

}  // namespace caraway::scheduling
