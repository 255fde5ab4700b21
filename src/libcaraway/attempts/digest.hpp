#pragma once

#include "libcaraway/config/configuration.hpp"

#include <initializer_list>
#include <string_view>

namespace caraway::attempts
{

/// SHA-256 of `bytes` in lower-case hex.
config::sha256_hex sha256(std::string_view bytes);

/// SHA-256 of several fields in lower-case hex. Each field is prefixed with its length, so that no
/// two different lists are hashed as the same bytes.
config::sha256_hex sha256(std::initializer_list<std::string_view> fields);

}  // namespace caraway::attempts
