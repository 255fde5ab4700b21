#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <functional>
#include <map>
#include <vector>

namespace caraway::scheduling
{

/// What each owner was told of demand last, so that a report can leave it out while little has
/// changed.
///
/// Under backlog most reports are about a slot that was taken or freed, and repeating every
/// backlogged workspace's demand in each made up nearly all bytes of control. A lost report costs
/// at most a refresh: until then its owner goes by older demand, which a declined grant corrects.
class synced_demands
{
public:
    /// Demands are told in full at least this often.
    explicit synced_demands(base::duration refresh);

    /// Whether the owner may go on with what it was told. If not, it is taken to be told now.
    bool may_omit(const base::node_ref& owner, const std::vector<demand>& demands,
                  base::time_point now);
    void retain(const std::function<bool(const base::node_ref&)>& alive);

private:
    struct told
    {
        std::vector<demand> demands;
        base::time_point at;
    };

    base::duration refresh_;
    std::map<base::node_ref, told> owners_;
};

}  // namespace caraway::scheduling
