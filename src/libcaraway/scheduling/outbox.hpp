#pragma once

#include "libcaraway/scheduling/actions.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// Collects the actions to be executed. Messages to this node itself are queued separately and do
/// not use the network.
class outbox
{
public:
    explicit outbox(base::node_ref self);

    void send(const base::node_ref& to, peer_message message);
    void push(action queued);

    std::vector<action> take();
    /// Removes and returns the next message to this node itself; nothing if there is none.
    std::optional<peer_message> take_local();

private:
    base::node_ref self_;
    std::vector<action> actions_;
    std::deque<peer_message> local_;
};

}  // namespace caraway::scheduling
