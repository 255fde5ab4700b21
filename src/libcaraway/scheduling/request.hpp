#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// The properties of a caller's request that scheduling uses; its bytes stay in the traffic thread.
struct request
{
    base::request_number number{};
    base::workspace_id workspace;
    base::service_id service;
    /// Rough estimate of the cost, from the caller or from the prompt's length; 0 if there is none.
    base::cost hint;
    bool idempotent = false;
    /// Hash of the prompt prefix; 0 if there is none.
    std::uint64_t affinity = 0;
    base::time_point arrival;
    base::time_point deadline;
    /// Number of attempts so far, and the upstream of the last one, which a retry avoids.
    std::uint32_t attempts = 0;
    std::optional<base::upstream_id> last_upstream;
};

}  // namespace caraway::scheduling
