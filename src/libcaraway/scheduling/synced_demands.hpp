#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <functional>
#include <map>
#include <vector>

namespace caraway::scheduling
{

/// The demands last sent to each owner. A report omits its demands if they differ little from
/// those.
///
/// Under backlog, most reports announce only that a slot was taken or freed, and the demands of all
/// backlogged workspaces made up nearly all bytes of the control traffic. If a report with demands
/// is lost, its owner uses outdated demands for at most one refresh interval; grants without a
/// matching request are declined.
class synced_demands
{
public:
    /// Demands are sent in full at least once per refresh interval.
    explicit synced_demands(base::duration refresh_interval);

    /// Whether a report may omit `demands`, because the owner's record of them is recent and
    /// similar. If not, the caller has to send them: they are recorded as sent at `now`.
    bool may_omit(const base::node_ref& owner, const std::vector<demand>& demands,
                  base::time_point now);
    /// Removes the owners for which `is_alive` returns false.
    void retain(const std::function<bool(const base::node_ref&)>& is_alive);

private:
    struct sent_demands
    {
        std::vector<demand> demands;
        base::time_point sent;
    };

    base::duration refresh_interval_;
    std::map<base::node_ref, sent_demands> owners_;
};

}  // namespace caraway::scheduling
