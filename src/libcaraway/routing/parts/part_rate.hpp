#pragma once

#include <cstdint>

namespace caraway::routing::parts
{

/// How often a shared part of prompts is used by the requests of one router.
struct part_rate
{
    /// Hash of the part with all parts before it; see prefix_hashes.
    std::uint64_t prefix = 0;
    double requests_per_second = 0;
};

}  // namespace caraway::routing::parts
