#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/messages.hpp"
#include "libcaraway/scheduling/node_context.hpp"
#include "libcaraway/scheduling/upstream_window.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// The slots of the upstreams that this node owns. A slot is in use if a router reports a request
/// running in it, or if a grant for it is not acknowledged; the report that acknowledges the grant
/// also counts the request as running.
class slot_ledger
{
public:
    explicit slot_ledger(node_context& context);

    /// Adds the upstreams that this node owns in the current view, and drops all others.
    void view_changed(base::time_point now);

    /// Replaces the numbers of requests that `router` runs at the upstreams.
    void set_held(const base::node_ref& router, const std::vector<holding>& holdings);
    void add_grant(const base::upstream_id& upstream);
    void remove_grant(const base::upstream_id& upstream);
    void observe_load(const base::upstream_id& upstream, base::slots running, base::slots waiting,
                      base::time_point taken_at, base::time_point now);

    /// Ends the takeovers that are complete or have timed out. `has_reported` returns whether a
    /// router has reported under one of the given views.
    void finish_takeovers(
        const std::function<bool(const base::node_ref&, const std::vector<std::uint64_t>&)>&
            has_reported,
        base::time_point now);

    bool owns(const base::upstream_id& upstream) const;
    /// Number of slots that may be granted now.
    base::slots free(const base::upstream_id& upstream) const;
    /// Owned upstreams of a service that have free slots.
    std::vector<base::upstream_id> free_upstreams(const base::service_id& service) const;
    std::vector<base::service_id> services() const;
    std::optional<base::time_point> next_wakeup() const;
    std::vector<owned_state> states() const;

private:
    struct takeover
    {
        base::time_point deadline;
        /// Hashes of this node's views since the takeover started.
        std::vector<std::uint64_t> views;
    };
    struct slot_record
    {
        base::service_id service;
        upstream_window window;
        bool draining = false;
        std::map<base::node_ref, base::slots> held;
        base::slots granted = 0;
        std::optional<takeover> taking_over;

        base::slots total_held() const;
    };

    base::slots window_of(const base::upstream_id& id, const slot_record& record) const;

    node_context& context_;
    std::map<base::upstream_id, slot_record> records_;
};

}  // namespace caraway::scheduling
