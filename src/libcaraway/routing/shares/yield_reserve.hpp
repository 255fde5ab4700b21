#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/shares/share_options.hpp"
#include "libcaraway/routing/shares/workspace_usage.hpp"

namespace caraway::routing::shares
{

/// How far workspaces that had most of what engines serve give way to those that engines hold up,
/// from 0 to 1. Rises while engines hold up more than is tolerated, and falls while it is less.
class yield_reserve
{
public:
    /// `total` sums the usages of the whole fleet; `elapsed` is the time since the last update.
    void update(const workspace_usage& total, base::duration elapsed, const share_options& options);

    double value() const
    {
        return value_;
    }

private:
    double value_ = 0;
};

}  // namespace caraway::routing::shares
