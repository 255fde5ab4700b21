#pragma once

#include "carawayctl/exit_code.hpp"

namespace caraway::ctl
{

/// Prints a new random key, and its SHA-256 for the configuration. The key is kept nowhere.
exit_code run_key_new(bool json);

}  // namespace caraway::ctl
