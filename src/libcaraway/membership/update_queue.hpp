#pragma once

#include "libcaraway/membership/messages.hpp"

#include <cstddef>
#include <vector>

namespace caraway::membership
{

/// Updates to be passed on to peers, each a bounded number of times; the least often sent first.
class update_queue
{
public:
    /// Queues an update; it replaces an older update of the same node, and its send count starts at
    /// 0.
    void put(member_update update);
    /// Records that a peer sent an update that is queued here: the more peers know an update, the
    /// earlier it is removed from the queue. Without this, most updates sent would already be known
    /// to the receiver.
    void record_received(const member_update& update);
    /// Updates for the next message, the least often sent first, as many as fit into `max_bytes`.
    /// Updates that have been sent `send_limit` times are then removed.
    std::vector<member_update> take(std::size_t max_bytes, std::size_t send_limit);

private:
    struct item
    {
        member_update update{};
        std::size_t sent = 0;
        std::size_t received = 0;
    };

    std::vector<item> items_;
};

}  // namespace caraway::membership
