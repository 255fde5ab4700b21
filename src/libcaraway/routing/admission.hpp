#pragma once

#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <limits>

namespace caraway::routing
{

/// Limits for placing a request. Waiting times are fractions of the route's latency target.
struct admission_options
{
    /// Longest wait behind other prompts at an engine for a request within its workspace's share.
    double engine_wait = 0.6;
    /// Longest wait in the router's queue for such a request.
    double queue_time = 0.5;
    /// Longest wait at an engine for a request beyond its workspace's share while all demands fit:
    /// such a request uses capacity that would otherwise be idle.
    double engine_wait_beyond = 0.6;
    /// The same while they don't.
    double engine_wait_contended = 0.25;
    /// Longest wait in the router's queue for a request beyond its workspace's share.
    double queue_time_beyond = 0.12;
    /// Fraction of an engine's slots open to requests beyond their workspace's share while all
    /// demands fit. The rest is reserved so that requests within their share find a slot at once.
    double slot_share_beyond = 0.95;
    /// The same while they don't, for requests that may begin.
    double slot_share_contended = 0.55;
    /// Tokens of shared prompt parts that an engine may prefill again for a request beyond its
    /// workspace's share while demands don't fit. Repeated prefill takes capacity from requests
    /// within their share.
    std::uint32_t repeated_tokens_contended = 300;
    /// Requests that may wait in one router's queue.
    std::size_t max_queue_length = 200;
};

/// Limits under which a request may be placed on an upstream.
struct admission_terms
{
    /// Longest wait behind other prompts at an engine.
    milliseconds longest_wait{};
    /// Fraction of an engine's slots that the request may use.
    double slot_share = 1;
    /// Tokens of shared prompt parts that an engine may prefill again for the request.
    std::uint32_t max_repeated_tokens = std::numeric_limits<std::uint32_t>::max();
    /// Longest wait in the router's queue; the request is refused afterwards.
    milliseconds max_queue_time{};
    /// The request must not be placed on any upstream for now.
    bool blocked = false;
};

/// Returns the limits for a request on `request_route` whose workspace has the given share status.
admission_terms admit(const route& request_route, const share_status& status,
                      const admission_options& options = {});

/// Returns how long a request beyond its workspace's share may wait at an engine while demands
/// don't fit.
milliseconds longest_contended_wait(const route& request_route,
                                    const admission_options& options = {});

/// Returns how long a refused caller should wait before it retries. `random_unit` is uniform in
/// [0, 1) and spreads the retries of callers that were refused at the same time. A caller within
/// its share (`share_used` below 1) may retry while its answer can still be on time; a caller
/// beyond it should wait until the window of the shares has advanced.
milliseconds retry_after(const route& request_route, double share_used, double random_unit);

}  // namespace caraway::routing
