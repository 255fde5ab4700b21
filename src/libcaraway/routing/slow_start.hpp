#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace caraway::routing
{

/// What a cold upstream bears.
struct warmup_limits
{
    /// How long it is cold after its start.
    std::chrono::milliseconds duration{0};
    /// Requests a second from all routers together.
    double requests_per_s = 0;
};

struct slow_start_options
{
    /// Routers that may send to one cold upstream. One or two more who take themselves for such a
    /// router, as their view of the fleet is another, do no harm.
    std::size_t senders = 3;
};

/// The other routers, as far as this one knows.
struct fleet_view
{
    std::vector<base::node_id> peers;
    /// This router hears too few of them to know its place among them.
    bool isolated = false;
};

/// Keeps requests away from upstreams that are cold: all routers together may send one no more than
/// its rate, and none of them knows what the others send just now. So few routers, the same for
/// all by rendezvous hashing, send to each cold upstream, each its part of the rate, evenly spaced.
/// The rest pass it over until it is warm.
class slow_start
{
public:
    explicit slow_start(base::node_id self, slow_start_options options = {});

    void set_limits(std::map<base::service_id, warmup_limits> limits);
    const warmup_limits& limits_of(const base::service_id& service) const;
    void set_fleet(fleet_view fleet);

    /// It stays cold for so long. Whether it wasn't believed to be cold before.
    bool record_cold(const upstream& which, std::chrono::milliseconds left, base::time_point now);
    bool is_cold(const base::upstream_id& id, base::time_point now) const;
    bool any_cold() const
    {
        return !cold_.empty();
    }
    std::size_t size() const
    {
        return cold_.size();
    }
    /// Whether this router may send it a request now; true for all that are warm.
    bool may_send(const upstream& which, base::time_point now);
    void record_sent(const upstream& which, base::time_point now);
    /// Those that are warm from now on.
    std::vector<base::upstream_id> expire(base::time_point now);

    /// Times that an upstream was passed over as it was cold, ever.
    std::uint64_t skip_count() const
    {
        return skip_count_;
    }

private:
    struct cold_upstream
    {
        base::time_point until{};
        /// This router's next request may go there then.
        base::time_point next{};
        /// Whether this router is among those that send; as of `fleet_changes_`.
        bool sends = false;
        std::uint64_t as_of = 0;
    };

    bool is_sender(const upstream& which) const;

    base::node_id self_;
    slow_start_options options_;
    std::map<base::service_id, warmup_limits> limits_;
    /// Knows nobody at first, and so sends to no cold upstream.
    fleet_view fleet_{.isolated = true};
    std::uint64_t fleet_changes_ = 1;
    std::map<base::upstream_id, cold_upstream> cold_;
    std::uint64_t skip_count_ = 0;
};

}  // namespace caraway::routing
