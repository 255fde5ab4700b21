#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/actions.hpp"
#include "libcaraway/scheduling/options.hpp"
#include "libcaraway/scheduling/upstream_rests.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// Ejects failing upstreams: each ejection lasts twice as long as the one before, then the upstream
/// is probed with one request. Only a limited fraction of a service's upstreams is ejected, since a
/// fault that affects more is more likely one of this router or of the requests.
///
/// An upstream that refuses and asks for a rest is not failing: it gets nothing for exactly that
/// time, however many other upstreams rest or are ejected.
class upstream_health
{
public:
    explicit upstream_health(const scheduler_options& options);

    /// Records the result of an attempt; `peers` are all upstreams of its service. Returns true if
    /// the upstream was ejected or has recovered.
    bool record_result(const base::upstream_id& upstream, attempt_result result,
                       const std::vector<base::upstream_id>& peers, base::time_point now);

    /// The upstream refused a request and asked this router to send nothing for a time.
    void record_rest(const base::upstream_id& upstream, std::chrono::milliseconds rest,
                     base::time_point now)
    {
        rests_.record(upstream, rest, now);
    }
    /// 0 if the upstream isn't resting.
    std::chrono::milliseconds rest_left(const base::upstream_id& upstream,
                                        base::time_point now) const
    {
        return rests_.time_left(upstream, now);
    }
    void expire_rests(base::time_point now)
    {
        rests_.expire(now);
    }
    std::size_t resting_count(base::time_point now) const
    {
        return rests_.resting_count(now);
    }
    /// A request was sent to the upstream: the trial, if it is due for one after a rest.
    void record_sent(const base::upstream_id& upstream, base::time_point now)
    {
        rests_.record_sent(upstream, now);
    }

    bool ejected(const base::upstream_id& upstream, base::time_point now) const;
    /// Whether the upstream gets no requests for now, as it is ejected or resting.
    bool excluded(const base::upstream_id& upstream, base::time_point now) const
    {
        return ejected(upstream, now) || rests_.is_resting(upstream, now);
    }
    /// Whether one more request may be sent to `upstream` while this router runs `held` requests
    /// there.
    bool usable(const base::upstream_id& upstream, base::slots held, base::time_point now) const;
    /// End of the ejection or rest that ends next; nothing if no upstream is excluded.
    std::optional<base::time_point> next_exclusion_end(base::time_point now) const;

    /// Call when another process has taken over the upstream's id: the results of the previous
    /// process do not apply to the new one.
    void discard(const base::upstream_id& upstream)
    {
        records_.erase(upstream);
        rests_.forget(upstream);
    }
    void retain(const std::vector<base::upstream_id>& upstreams);

private:
    struct record
    {
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        std::optional<base::time_point> ejected_until;
    };

    bool may_eject(const std::vector<base::upstream_id>& peers, base::time_point now) const;
    bool eject(record& entry, base::duration base_time, base::time_point now);

    const scheduler_options& options_;
    std::map<base::upstream_id, record> records_;
    upstream_rests rests_;
};

}  // namespace caraway::scheduling
