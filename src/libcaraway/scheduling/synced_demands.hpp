#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <functional>
#include <map>
#include <vector>

namespace caraway::scheduling
{

/// The demands last sent to each owner. A report omits its demands while they have changed little.
///
/// Under backlog most reports are about a slot that was taken or freed, and repeating every
/// backlogged workspace's demand in each made up nearly all bytes of control traffic. A lost report
/// costs at most a refresh: until then its owner uses outdated demands, and excess grants are
/// declined.
class synced_demands
{
public:
    /// `refresh` is the maximum interval between reports with demands.
    explicit synced_demands(base::duration refresh);

    /// Whether a report to the owner may omit its demands. If not, they are recorded as sent now.
    bool may_omit(const base::node_ref& owner, const std::vector<demand>& demands,
                  base::time_point now);
    /// Removes owners that are not alive.
    void retain(const std::function<bool(const base::node_ref&)>& alive);

private:
    struct sent_demands
    {
        std::vector<demand> demands;
        base::time_point sent;
    };

    base::duration refresh_;
    std::map<base::node_ref, sent_demands> owners_;
};

}  // namespace caraway::scheduling
