#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/byte_budget.hpp"
#include "libcaraway/membership/configuration_watch.hpp"
#include "libcaraway/membership/expiring_set.hpp"
#include "libcaraway/membership/member_table.hpp"
#include "libcaraway/membership/probe_order.hpp"
#include "libcaraway/membership/update_queue.hpp"

#include <cstddef>

namespace caraway::membership
{

/// The data that a gossip message is composed of, and the limits of one message.
struct gossip_sources
{
    base::node_id self;
    const member_table& table;
    const configuration_watch& configuration;
    update_queue& updates;
    expiring_set& entries;
    /// Limits the bytes of updates; the size of all other parts is bounded.
    byte_budget& budget;
    const random_source& random;
    std::size_t max_bytes = 0;
    std::size_t max_samples = 0;
    std::size_t max_entry_bytes = 0;
    /// Number of times that an update is sent before it is removed from the queue.
    std::size_t retransmit_limit = 0;
};

/// Composes the gossip for one peer; `receiver_id` is empty while the peer is unknown. A peer
/// judged dead or suspect gets that verdict first, since only the peer itself can refute the
/// verdict. A peer that is unknown or judged dead also gets the details of this node, since a dead
/// peer may have discarded them.
gossip write_gossip(const gossip_sources& sources, const base::node_id& receiver_id,
                    base::time_point now);

}  // namespace caraway::membership
