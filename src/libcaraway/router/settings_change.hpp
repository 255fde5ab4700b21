#pragma once

#include "libcaraway/router/settings.hpp"

#include <string>
#include <vector>

namespace caraway::router
{

/// Result of applying changed settings to a running process.
struct settings_change
{
    /// Names of the settings that were applied.
    std::vector<std::string> applied;
    /// Names of the changed settings that need a restart: the router's identity, its listening
    /// addresses and the number of file descriptors.
    std::vector<std::string> need_restart;

    bool any() const
    {
        return !applied.empty() || !need_restart.empty();
    }
};

/// Copies into `current` the settings that may change while the process runs. A port of 0 in `next`
/// does not count as a change, as `current` holds the port that was assigned.
settings_change apply_settings(settings& current, const settings& next);

}  // namespace caraway::router
