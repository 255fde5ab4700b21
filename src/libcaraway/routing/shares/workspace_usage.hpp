#pragma once

#include "libcaraway/base/ids.hpp"

#include <map>

namespace caraway::routing::shares
{

/// Tokens of one workspace's requests within the window, in the unit of the capacity.
struct workspace_usage
{
    /// Requests that arrived.
    double demanded = 0;
    /// Requests that were sent to engines.
    double served = 0;
    /// Requests that were refused within the last second or so, rather than within the window.
    double refused = 0;
    /// Those of them that no engine had a place for on the terms of a workspace within its share.
    double held_by_engines = 0;

    workspace_usage& operator+=(const workspace_usage& other);
};

using workspace_usages = std::map<base::workspace_id, workspace_usage>;

}  // namespace caraway::routing::shares
