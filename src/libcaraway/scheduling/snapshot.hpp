#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caraway::scheduling
{

/// Requests of one workspace that wait for one service at this router.
struct queue_state
{
    account key;
    std::uint32_t waiting = 0;
    std::chrono::milliseconds head_age{0};
    base::request_number head{};
    /// Owners from which a slot was requested.
    std::vector<base::node_id> asked;
    /// Requests started per second, measured while requests waited.
    double rate = 0;
};

/// A request that runs at an upstream.
struct attempt_state
{
    base::request_number request{};
    account key;
    base::upstream_id upstream;
    base::node_id owner;
    base::grant_number grant{};
    base::cost estimate;
    base::cost charged;
    std::chrono::milliseconds age{0};
};

/// State of one upstream as this router sees it.
struct upstream_state
{
    base::upstream_id upstream;
    base::service_id service;
    base::node_id owner;
    /// Number of requests of this router that run at the upstream.
    base::slots held = 0;
    bool draining = false;
    bool ejected = false;
};

/// One upstream that this router owns.
struct owned_state
{
    base::upstream_id upstream;
    base::slots window = 0;
    base::slots held = 0;
    base::slots granted = 0;
    /// True while the owner waits for the routers' reports after taking over the upstream.
    bool taking_over = false;
};

/// State of one account as this router compares it with others.
struct account_state
{
    account key;
    std::uint32_t epoch = 0;
    base::cost lift;
    /// This node's own total.
    base::cost total;
    /// The whole fleet's total as far as known, without the lift.
    base::cost sum;
    /// Cost granted by this owner that the sum does not contain yet.
    base::cost pending;
    base::virtual_time virtual_now;
    /// Whether a recent sum of an aggregator has been received.
    bool known = false;
    /// Number of waiting requests that routers have reported to this owner.
    std::uint32_t demanded = 0;
};

/// A grant that its router has not acknowledged.
struct grant_state
{
    base::node_id router;
    grant given;
    std::chrono::milliseconds age{0};
};

/// Event counts since the process started; monotonic.
struct scheduler_counters
{
    std::uint64_t submitted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t started = 0;
    std::uint64_t given_up = 0;
    std::uint64_t retried = 0;
    std::uint64_t grants_made = 0;
    std::uint64_t grants_bound = 0;
    std::uint64_t grants_declined = 0;
    std::uint64_t grants_reclaimed = 0;
    std::uint64_t epochs_started = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_dropped = 0;
};

/// The complete state of the scheduler, for dumps and explanations.
struct scheduler_snapshot
{
    bool draining = false;
    std::uint64_t view = 0;
    std::vector<queue_state> queues;
    std::vector<attempt_state> attempts;
    std::vector<upstream_state> upstreams;
    std::vector<owned_state> owned;
    std::vector<account_state> accounts;
    std::vector<grant_state> grants;
    std::vector<service_floor> floors;
    scheduler_counters counters;
};

}  // namespace caraway::scheduling
