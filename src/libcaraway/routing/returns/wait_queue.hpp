#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace caraway::routing::returns
{

/// A request that waits for a slot.
struct waiting_request
{
    base::workspace_id workspace;
    base::service_id service;
    /// Goes on with a stream, which only a part of the upstreams can do.
    bool resumes = false;
    /// The caller sent the request again after a refusal.
    bool resubmitted = false;
    /// 0 is the most urgent.
    std::int32_t priority = 0;
    base::time_point arrived{};
    /// The request is refused if it has no slot by then.
    base::time_point expires{};
};

enum class wait_id : std::uint64_t
{
};

/// Requests that found no slot on arrival. Those that resume a stream come first: it was let in
/// when it began. The others are ordered by the share that their workspace has used, then fresh
/// requests before resubmitted ones, then by urgency, then by arrival. So the requests of a
/// flooding workspace wait behind those of all others, and within a workspace no request is
/// overtaken by a later one that is not more urgent.
class wait_queue
{
public:
    /// Returns the fraction of its share that a workspace has used; see
    /// share_status::largest_used.
    using share_used_lookup = std::function<double(const base::workspace_id&)>;

    wait_id add(const waiting_request& request);
    void remove(wait_id id);

    /// Returns all waiting requests in the order in which they should get slots.
    std::vector<wait_id> order(const share_used_lookup& share_used) const;
    /// Removes and returns the requests that have expired.
    std::vector<wait_id> take_expired(base::time_point now);

    std::size_t size() const
    {
        return waiting_.size();
    }

private:
    std::map<wait_id, waiting_request> waiting_;
    std::uint64_t last_id_ = 0;
};

}  // namespace caraway::routing::returns
