#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <optional>

namespace caraway::routing
{

/// What an ended attempt at an upstream showed of that upstream.
struct attempt_summary
{
    base::upstream_id upstream;
    base::service_id service;
    /// Whether the upstream is a model engine rather than a plain one.
    bool is_engine = false;
    /// The upstream's whole answer arrived.
    bool complete = false;
    /// Requests known to run at the upstream when the attempt was sent, without itself.
    std::uint32_t running = 0;
    /// Prompt tokens queued at the engine before the attempt, and those of its own prompt that the
    /// engine was assumed to lack.
    std::uint64_t queued_tokens = 0;
    std::uint64_t uncached_tokens = 0;
    /// From sending the request to the first event, or to the answer's head.
    std::optional<base::duration> until_answer;
    /// From the first event to the last one; longest time between two of them.
    base::duration streaming{};
    base::duration longest_pause{};
    /// Events that arrived, each of the service's number of tokens.
    std::uint32_t events = 0;
};

}  // namespace caraway::routing
