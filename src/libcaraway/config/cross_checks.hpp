#pragma once

#include "libcaraway/config/configuration.hpp"

#include <string>
#include <vector>

namespace caraway::config
{

/// A violation of a rule between parts of a configuration, which a JSON schema can't express.
struct cross_check_error
{
    std::string pointer;
    std::string message;
};

/// Checks that referenced names exist, that addresses and keys are unique, and that operators can
/// still change the configuration after it has come into force.
std::vector<cross_check_error> cross_check(const configuration& proposed);

/// Whether the text is an IPv4 or IPv6 address in its usual notation.
bool is_ip_address(const std::string& text);

}  // namespace caraway::config
