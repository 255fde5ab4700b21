#pragma once

#include "libcaraway/router/settings.hpp"

#include <string>
#include <vector>

namespace caraway::router
{

/// What a changed settings file changed.
struct settings_change
{
    /// Names of settings that are in force as of now.
    std::vector<std::string> applied;
    /// Names of those that a process keeps for its life: who it is and where it listens.
    std::vector<std::string> need_restart;

    bool any() const
    {
        return !applied.empty() || !need_restart.empty();
    }
};

/// Takes over into `current` what may change while the process runs. A port that was given as 0 is
/// no change: `current` holds the one that it became.
settings_change apply_settings(settings& current, const settings& next);

}  // namespace caraway::router
