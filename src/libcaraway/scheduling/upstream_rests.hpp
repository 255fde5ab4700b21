#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <chrono>
#include <map>
#include <optional>

namespace caraway::scheduling
{

/// Upstreams that refused a request and asked this router to send nothing for a time. Other routers
/// aren't bound by it; the upstream tells each of them itself. No result of other requests ends a
/// rest: an upstream that refuses new requests still completes those that it runs.
///
/// After a rest, one request is sent as a trial. Further ones follow if the upstream does not ask
/// for another rest at once, so that it does not have to refuse all requests that waited for it.
class upstream_rests
{
public:
    /// The upstream asked for a rest at `now`. A rest that ends later stays in force.
    void record(const base::upstream_id& id, std::chrono::milliseconds rest, base::time_point now);
    /// Whether a request may be sent to the upstream: it isn't resting, and no trial is under way.
    bool may_send(const base::upstream_id& id, base::time_point now) const;
    void record_sent(const base::upstream_id& id, base::time_point now);
    bool is_resting(const base::upstream_id& id, base::time_point now) const;
    /// Time until the rest ends, rounded up; 0 if the upstream isn't resting.
    std::chrono::milliseconds time_left(const base::upstream_id& id, base::time_point now) const;
    /// End of the rest that ends next; nothing if no upstream is resting.
    std::optional<base::time_point> next_end(base::time_point now) const;
    /// Call when another process has taken over the upstream's id.
    void forget(const base::upstream_id& id)
    {
        rests_.erase(id);
    }
    /// Removes rests whose trial is over, and those that ended long ago without one.
    void expire(base::time_point now);
    std::size_t resting_count(base::time_point now) const;

private:
    struct rest
    {
        base::time_point end{};
        std::optional<base::time_point> trial_sent;
    };

    std::map<base::upstream_id, rest> rests_;
};

}  // namespace caraway::scheduling
