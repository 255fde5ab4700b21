#pragma once

#include "libcaraway/config/configuration.hpp"

#include <string_view>

namespace caraway::attempts
{

/// Whether a call is idempotent, so that it can be sent again safely. Every call to a model service
/// is. For a plain service the first matching rule decides; without one, the HTTP method does.
/// `path` is the part after /s/<service>, with its leading '/'; a query is ignored.
bool is_idempotent(const config::service& service, std::string_view method, std::string_view path);

}  // namespace caraway::attempts
