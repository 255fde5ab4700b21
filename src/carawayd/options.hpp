#pragma once

#include "libcaraway/config/daemon_settings.hpp"
#include "libcaraway/scheduling/options.hpp"

#include <string>
#include <vector>

namespace carawayd
{

/// What the command line of carawayd says.
struct command_line
{
    std::string settings_file;
    std::vector<caraway::config::setting_override> overrides;
    /// Only check the settings and say what is wrong.
    bool check_only = false;
    /// How slots are shared out; anything but `full` is for measurements.
    caraway::scheduling::policy policy = caraway::scheduling::policy::full;
    /// Lets operators cut this router off from its peers; for tests.
    bool allow_faults = false;
    /// Set when the program is to end at once with this status (help, version, wrong use).
    bool end_now = false;
    int status = 0;
};

/// Reads the command line; prints help, version and errors itself.
command_line read_command_line(int argc, char** argv);

}  // namespace carawayd
