#pragma once

#include "libcaraway/attempts/once_coordinator.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <set>

namespace caraway::attempts
{

struct claim_tracker_options
{
    /// Maximum number of abandoned, unsent calls that are remembered; the oldest are evicted first.
    std::size_t max_not_sent = 10000;
};

/// Determines the state of the holders of claims: holders of this incarnation of the router from
/// memory, all others by the liveness of their router.
class claim_tracker
{
public:
    /// Whether this incarnation of the router is believed to be alive.
    using liveness_lookup = std::function<bool(const base::node_ref&)>;

    claim_tracker(claim_tracker_options options, base::node_ref self, liveness_lookup is_alive);

    /// Records that a call with an idempotency key starts to claim its key.
    void begin(base::request_number request);
    /// Records that the call was refused or abandoned before `proceed`, so it will never be sent.
    void give_up(base::request_number request);
    /// Records that the end of the call was written to the table, or that writing was given up.
    void end(base::request_number request);

    holder_state state(const attempt_id& holder) const;

private:
    claim_tracker_options options_;
    base::node_ref self_;
    liveness_lookup is_alive_;
    std::set<base::request_number> running_;
    std::set<base::request_number> not_sent_;
    std::deque<base::request_number> not_sent_order_;
};

}  // namespace caraway::attempts
