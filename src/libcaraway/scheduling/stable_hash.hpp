#pragma once

#include <cstdint>
#include <string_view>

namespace caraway::scheduling
{

/// A hash that is equal on all nodes and in all builds, unlike std::hash.
std::uint64_t stable_hash(std::string_view text);

/// Combines two hashes into one; the result depends on their order.
std::uint64_t combine(std::uint64_t first, std::uint64_t second);

}  // namespace caraway::scheduling
