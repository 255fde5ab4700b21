#pragma once

#include <cstdint>

namespace caraway::routing::parts
{

/// How often a shared part of prompts is used by the requests of one router, or which upstream it
/// sent the part to lately.
struct part_rate
{
    /// Hash of the part with all parts before it; see prefix_hashes.
    std::uint64_t prefix = 0;
    /// 0: not told.
    double requests_per_second = 0;
    /// Hash of an upstream that holds the part though it isn't its home; 0: not told.
    std::uint64_t holder = 0;
};

}  // namespace caraway::routing::parts
