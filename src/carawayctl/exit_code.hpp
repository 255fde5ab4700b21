#pragma once

#include "libcaraway/base/error.hpp"

namespace caraway::ctl
{

/// What the program's exit status says. Scripts rely on the numbers; the manual page lists them.
enum class exit_code
{
    ok = 0,
    refused = 1,         ///< The rules, a conflict or a check speak against it.
    usage = 2,           ///< The command line or a file named on it is wrong.
    unreachable = 3,     ///< No router answered, and nothing was changed.
    unauthorized = 4,    ///< No key, a wrong key, or one that may not do this.
    unknown_effect = 5,  ///< No answer came; the change may or may not have been made.
};

exit_code exit_code_of(base::errc kind);

}  // namespace caraway::ctl
