#pragma once

#include "libcaraway/base/ids.hpp"

namespace caraway::scheduling
{

/// A live router, as reported by the membership protocol.
struct member
{
    base::node_ref node;
    base::zone_id zone;
    /// Shutting down: it still serves its callers, but owns no upstreams and aggregates no totals.
    bool leaving = false;

    friend bool operator==(const member&, const member&) = default;
};

}  // namespace caraway::scheduling
