#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/actions.hpp"
#include "libcaraway/scheduling/options.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// Keeps a router from upstreams that fail: each is ejected for a while that doubles with each
/// repetition, then probed with one request. Never more than a part of a service's upstreams, as a
/// fault that strikes more is rather this router's own, or the requests'.
class upstream_health
{
public:
    explicit upstream_health(const scheduler_options& options);

    /// Takes in how an attempt ended; `peers` are all upstreams of its service.
    /// True if the upstream was ejected or came back.
    bool record_result(const base::upstream_id& upstream, attempt_result result,
                       const std::vector<base::upstream_id>& peers, base::time_point now);

    bool ejected(const base::upstream_id& upstream, base::time_point now) const;
    /// Whether one more request may go there while this router has `held` running there.
    bool usable(const base::upstream_id& upstream, base::slots held, base::time_point now) const;
    /// When the next ejection ends.
    std::optional<base::time_point> next_ejection_end(base::time_point now) const;

    /// Another process runs under its id: what the one before did says nothing of it.
    void discard(const base::upstream_id& upstream)
    {
        records_.erase(upstream);
    }
    void retain(const std::vector<base::upstream_id>& upstreams);

private:
    struct record
    {
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        std::optional<base::time_point> until;
    };

    bool may_eject(const std::vector<base::upstream_id>& peers, base::time_point now) const;
    bool eject(record& each, base::duration base_time, base::time_point now);

    const scheduler_options& options_;
    std::map<base::upstream_id, record> records_;
};

}  // namespace caraway::scheduling
