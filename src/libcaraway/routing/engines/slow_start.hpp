#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace caraway::routing::engines
{

/// Load limit of a cold upstream.
struct warmup_limits
{
    /// How long an upstream is cold after its start.
    std::chrono::milliseconds duration{0};
    /// Sum over all routers; 0: no limit.
    double requests_per_s = 0;
};

struct slow_start_options
{
    /// Routers that may send to one cold upstream. One or two more that consider themselves senders
    /// because their view of the fleet differs do not exceed what an upstream tolerates.
    std::size_t max_senders = 3;
};

/// The other routers of the fleet, as seen by this router.
struct fleet_view
{
    std::vector<base::node_id> peers;
    /// This router reaches too few peers to determine its rank among them.
    bool isolated = false;
};

/// Limits requests to cold upstreams. All routers together may not exceed the rate of a cold
/// upstream, and none of them knows what the others are sending. Rendezvous hashing therefore
/// selects a few senders for each cold upstream, the same on all routers. Each sender uses an equal
/// fraction of the rate, evenly spaced; the other routers skip the upstream until it is warm.
class slow_start
{
public:
    explicit slow_start(base::node_id self, slow_start_options options = {});

    /// Limits by service; a service without an entry has no limit.
    void set_limits(std::map<base::service_id, warmup_limits> limits);
    const warmup_limits& limits_of(const base::service_id& service) const;
    void set_fleet(fleet_view fleet);

    /// Marks an upstream as cold for at least `remaining`. Returns true if it was not marked
    /// before.
    bool record_cold(const upstream& target, std::chrono::milliseconds remaining,
                     base::time_point now);
    bool is_cold(const base::upstream_id& id, base::time_point now) const;
    bool any_cold() const
    {
        return !cold_.empty();
    }
    std::size_t size() const
    {
        return cold_.size();
    }
    /// Whether this router may send a request to the upstream now; always true for warm upstreams.
    /// Counts a skip if not.
    bool may_send(const upstream& target, base::time_point now);
    void record_sent(const upstream& target, base::time_point now);
    /// Removes the upstreams that have become warm and returns them.
    std::vector<base::upstream_id> expire(base::time_point now);

    /// How often an upstream was skipped because it was cold, since the start of the process.
    std::uint64_t skip_count() const
    {
        return skip_count_;
    }

private:
    struct cold_upstream
    {
        base::time_point until{};
        /// Earliest time of this router's next request to the upstream.
        base::time_point next_send{};
        /// Whether this router is a sender, computed for `fleet_version`.
        bool selected = false;
        std::uint64_t fleet_version = 0;
    };

    bool is_sender(const upstream& target) const;

    base::node_id self_;
    slow_start_options options_;
    std::map<base::service_id, warmup_limits> limits_;
    /// Isolated until the first update, so that nothing is sent to cold upstreams before.
    fleet_view fleet_{.isolated = true};
    std::uint64_t fleet_version_ = 1;
    std::map<base::upstream_id, cold_upstream> cold_;
    std::uint64_t skip_count_ = 0;
};

}  // namespace caraway::routing::engines
