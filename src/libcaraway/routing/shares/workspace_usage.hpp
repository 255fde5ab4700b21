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
    /// The same per second, over the last second or so. Negative in a peer's counts that lack it.
    double serving_rate = 0;
    /// Requests that were refused within the last second or so, rather than within the window.
    double refused = 0;
    /// Those of them that might have begun by their workspace's limit, and found no place.
    double held_by_engines = 0;
    /// Those of them that a router's processor had no time for.
    double held_by_processor = 0;

    workspace_usage& operator+=(const workspace_usage& other);
};

using workspace_usages = std::map<base::workspace_id, workspace_usage>;
using workspace_tokens = std::map<base::workspace_id, double>;

}  // namespace caraway::routing::shares
