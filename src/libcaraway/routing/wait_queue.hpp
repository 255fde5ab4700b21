#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace caraway::routing
{

/// A request that waits for a place.
struct waiting_request
{
    base::workspace_id workspace;
    base::service_id service;
    /// Came back after a refusal.
    bool resubmitted = false;
    /// 0 is the most urgent.
    std::int32_t priority = 0;
    base::time_point arrived{};
    /// When it is given up.
    base::time_point expires{};
};

enum class wait_id : std::uint64_t
{
};

/// Requests that found no place at once. Served by the workspace that has had the least of what it
/// is due, then fresh ones before returned ones, then by urgency, then by arrival: so a flooding
/// workspace's requests wait behind everyone else's, and within a workspace nothing is overtaken by
/// what is no more urgent.
class wait_queue
{
public:
    /// How full a workspace's share is; see workspace_shares::share_used.
    using share_used_lookup = std::function<double(const base::workspace_id&)>;

    wait_id add(const waiting_request& request);
    void remove(wait_id id);

    /// All that wait, in the order in which they should get places.
    std::vector<wait_id> order(const share_used_lookup& fill) const;
    /// Takes out those whose time is over.
    std::vector<wait_id> take_expired(base::time_point now);

    std::size_t size() const
    {
        return waiting_.size();
    }

private:
    std::map<wait_id, waiting_request> waiting_;
    std::uint64_t last_ = 0;
};

}  // namespace caraway::routing
