#pragma once

#include "libcaraway/config/configuration.hpp"

#include <string>
#include <vector>

namespace caraway::config
{

/// A rule broken between the parts of a configuration, which no schema can express.
struct cross_check_error
{
    std::string pointer;
    std::string message;
};

/// Checks that names lead somewhere, that addresses and keys are not used twice, and that the
/// operators can still change the configuration afterwards.
std::vector<cross_check_error> cross_check(const configuration& proposed);

/// Whether this is an IPv4 or IPv6 address in its usual notation.
bool is_ip_address(const std::string& text);

}  // namespace caraway::config
