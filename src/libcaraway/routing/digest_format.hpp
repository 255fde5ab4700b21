#pragma once

#include <cstdint>

/// The layout of encoded digests: an array whose first item is the format. Fields that were added
/// later are at its end, and those that a router doesn't know are ignored.
namespace caraway::routing::digest_format
{

/// Increase it whenever a field changes or is removed.
constexpr std::uint64_t version = 8;
/// Fields that each digest has.
constexpr std::uint64_t required_fields = 21;
/// Fields of the digests of this router.
constexpr std::uint64_t fields = 26;

// Positions of the fields that digests of other routers may lack.
constexpr std::uint64_t keeps_origins = 21;
constexpr std::uint64_t suspected_parts = 22;
constexpr std::uint64_t processor_limited = 23;
constexpr std::uint64_t paces = 24;
constexpr std::uint64_t part_rates = 25;

}  // namespace caraway::routing::digest_format
