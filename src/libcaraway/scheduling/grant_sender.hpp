#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/messages.hpp"
#include "libcaraway/scheduling/options.hpp"
#include "libcaraway/scheduling/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace caraway::scheduling
{

/// The owner's side of the grants: numbers them, resends them until they are acknowledged, and
/// reclaims those that are not acknowledged in time.
class grant_sender
{
public:
    explicit grant_sender(const scheduler_options& options);

    base::grant_number add(const base::node_ref& router, const base::upstream_id& upstream,
                           const account& key, base::time_point now);
    /// Removes and returns all grants to `router` up to and including `last_number`.
    std::vector<grant> acknowledge(const base::node_ref& router, base::grant_number last_number);
    /// Removes and returns the grants that were not acknowledged within
    /// scheduler_options::grant_timeout.
    std::vector<std::pair<base::node_ref, grant>> reclaim(base::time_point now);
    /// Removes and returns the grants for which `should_withdraw` is true, for example those at
    /// upstreams that are no longer owned.
    std::vector<std::pair<base::node_ref, grant>>
    withdraw(const std::function<bool(const base::node_ref&, const grant&)>& should_withdraw);
    void retain(const std::function<bool(const base::node_ref&)>& alive);

    /// Routers that have new grants or whose unacknowledged grants must be resent.
    std::vector<base::node_ref> due(base::time_point now) const;
    std::vector<grant> list_for(const base::node_ref& router, base::time_point now);
    std::optional<base::time_point> next_wakeup() const;

    std::uint32_t unacknowledged(const base::node_ref& router, const account& key) const;
    std::vector<grant_state> states(base::time_point now) const;

private:
    struct sent_grant
    {
        grant given;
        base::time_point created;
    };
    struct peer
    {
        std::uint64_t last_number = 0;
        std::vector<sent_grant> pending;
        bool has_new = false;
        base::time_point last_sent;
    };

    const scheduler_options& options_;
    std::map<base::node_ref, peer> peers_;
};

}  // namespace caraway::scheduling
