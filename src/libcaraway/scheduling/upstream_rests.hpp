#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <chrono>
#include <map>

namespace caraway::scheduling
{

/// Upstreams that refused a request and asked this router to send nothing for a time. Other routers
/// aren't bound by it; the upstream tells each of them itself.
class upstream_rests
{
public:
    /// The upstream asked for a rest at `now`. A rest that ends later stays in force.
    void record(const base::upstream_id& id, std::chrono::milliseconds rest, base::time_point now);
    bool is_resting(const base::upstream_id& id, base::time_point now) const;
    /// Time until the rest ends, rounded up; 0 if the upstream isn't resting.
    std::chrono::milliseconds time_left(const base::upstream_id& id, base::time_point now) const;
    /// Call when another process has taken over the upstream's id.
    void forget(const base::upstream_id& id)
    {
        ends_.erase(id);
    }
    /// Removes the rests that have ended.
    void expire(base::time_point now);
    /// Upstreams with a rest that has not been removed.
    std::size_t size() const
    {
        return ends_.size();
    }

private:
    std::map<base::upstream_id, base::time_point> ends_;
};

}  // namespace caraway::scheduling
