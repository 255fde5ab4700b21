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
    /// Calls given up without sending that are remembered; the oldest go first.
    std::size_t max_not_sent = 10000;
};

/// Tells holders of records: of this life from memory, of others by asking the membership.
class claim_tracker
{
public:
    /// Whether that life of that router is alive, as far as is known.
    using liveness_lookup = std::function<bool(const base::node_ref&)>;

    claim_tracker(claim_tracker_options options, base::node_ref self, liveness_lookup is_alive);

    /// A keyed call begins to claim.
    void begin(base::request_number request);
    /// It was refused or abandoned before `proceed`: it never sends.
    void give_up(base::request_number request);
    /// Its end is recorded, or can't be.
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
