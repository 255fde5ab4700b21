#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The accepted configuration in the form that routers use, independent of the store or file that
/// it was read from.
namespace caraway::routing
{

using std::chrono::milliseconds;

/// A service that receives a share of a route's traffic, in proportion to `weight`.
struct service_weight
{
    base::service_id service;
    double weight = 1;
};

/// Matches requests by host and path prefix, and says how they are handled.
struct route
{
    std::string name;
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    std::vector<service_weight> services;
    /// Whether a request may be executed more than once.
    bool idempotent = false;
    /// Whether requests are answered by an event stream.
    bool streaming = false;
    /// Whether another upstream can resume the stream after an event id; implies idempotent.
    bool resumable = false;
    /// Whether requests are accepted without a workspace's key.
    bool anonymous = false;
    /// Maximum number of upstreams that one request is sent to.
    std::uint32_t max_attempts = 1;
    /// Lower values are more urgent; 0 is the most urgent.
    std::int32_t priority = 0;
    /// Maximum time for a request, queueing included.
    milliseconds timeout{30000};
    /// Target time to the answer, or to a stream's first event.
    milliseconds latency_target{1000};
    /// Target for the longest time between two events of a stream.
    milliseconds gap_target{1000};
};

/// Capacity of each model engine of a service.
struct engine_capacity
{
    /// Requests that are processed at the same time.
    std::uint32_t slots = 1;
    /// Size of the KV cache in tokens.
    std::uint64_t kv_tokens = 0;
    /// Tokens per event of a stream.
    std::uint32_t tokens_per_event = 1;
    /// Time to transfer one token of KV cache from one engine to another; 0 if the engines do not
    /// support transfers.
    std::chrono::duration<double, std::milli> transfer_per_token{0};
};

struct service
{
    base::service_id id;
    /// Maximum number of connections to one upstream from all routers together.
    std::uint32_t max_connections = 100;
    /// How long an upstream is cold after its start, and the rate that it can handle meanwhile, in
    /// requests per second from all routers together; a rate of 0 means never cold.
    milliseconds warmup{0};
    double warmup_rate = 0;
    /// Set for services of model engines, empty for others.
    std::optional<engine_capacity> engine;
};

struct workspace
{
    base::workspace_id id;
    std::optional<std::int32_t> priority;
    std::vector<std::string> keys;
};

/// Limits on the size and duration of callers' requests.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    milliseconds header_timeout{5000};
    milliseconds idle_timeout{15000};
};

struct configuration
{
    base::config_version version{};
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces;
    caller_limits limits;
    /// Capacity of all engines together in weighted tokens: a prompt token counts once, a generated
    /// token twice. 0 if unknown.
    double tokens_per_second = 0;
};

/// One part of a prompt, identified so that equal parts of several requests are recognised.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// Information about a request that its caller supplies, decoded from the caller's protocol.
struct request_metadata
{
    base::request_id id;
    /// How long the caller waits for the answer, counted from when the caller sent the request.
    std::optional<milliseconds> caller_timeout;
    std::string key;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// The caller's estimate of the number of output tokens; 0 if there is none.
    std::uint32_t output_hint = 0;
    /// The prompt's parts in order; all but the last may be shared with other requests.
    std::vector<prompt_part> parts;
    /// Id of the last event that the caller received, if the caller resumes a stream.
    std::optional<std::uint64_t> resume_after;
    /// The attempt that brought the first event of the stream that the caller resumes.
    std::optional<base::request_id> resumed_attempt;
};

}  // namespace caraway::routing
