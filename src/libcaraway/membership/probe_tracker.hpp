#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/membership/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace caraway::membership
{

/// Probes that await an acknowledgement: probes of this node, and probes relayed for other nodes.
class probe_tracker
{
public:
    struct timeouts
    {
        base::duration direct{};
        base::duration total{};
    };

    /// A probe of this node that has not been answered.
    struct unanswered
    {
        std::uint32_t sequence = 0;
        base::node_ref target{};
        /// Nodes that probed the target on request and got no answer either.
        std::set<base::node_id> nacks{};
    };

    /// The node that requested a relayed probe, and the sequence under which the result is sent
    /// back.
    struct requester
    {
        base::node_ref node{};
        endpoint address{};
        std::uint32_t sequence = 0;
    };

    explicit probe_tracker(timeouts limits);

    /// Start a probe of this node or a relayed one. Both return the sequence to send.
    std::uint32_t start(const base::node_ref& target, base::time_point now);
    std::uint32_t start_relayed(requester origin, base::time_point now);

    /// Records an acknowledgement. If it belongs to a relayed probe, returns the node to which to
    /// forward the acknowledgement.
    std::optional<requester> acknowledge(std::uint32_t sequence);

    /// Probes unanswered for the direct timeout, to be retried through other nodes; each probe is
    /// returned once.
    std::vector<unanswered> take_overdue(base::time_point now);
    /// Records that a node asked for an indirect probe got no answer either.
    void record_nack(std::uint32_t sequence, const base::node_id& relay);
    /// Removes and returns probes of this node that have exceeded the total timeout.
    std::vector<unanswered> take_failed(base::time_point now);
    /// Removes and returns relayed probes that have timed out; the timeout is short enough for the
    /// negative answer to reach the requester in time.
    std::vector<requester> take_failed_relayed(base::time_point now);
    std::optional<base::time_point> next_deadline() const;
    /// Extends the deadlines of all probes after this process was stalled for `delay`.
    void postpone(base::duration delay);

private:
    struct own_probe
    {
        base::node_ref target{};
        base::time_point started{};
        bool indirect_requested = false;
        std::set<base::node_id> nacks{};
    };
    struct relayed_probe
    {
        requester origin{};
        base::time_point started{};
    };

    base::duration relay_timeout() const;

    timeouts timeouts_;
    std::uint32_t last_sequence_ = 0;
    std::map<std::uint32_t, own_probe> own_;
    std::map<std::uint32_t, relayed_probe> relayed_;
};

}  // namespace caraway::membership
