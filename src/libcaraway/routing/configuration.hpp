#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What the accepted configuration means to the routers, whichever store or file it came from.
namespace caraway::routing
{

using std::chrono::milliseconds;

/// One of the services that a route's traffic is divided between.
struct service_weight
{
    base::service_id service;
    double weight = 1;
};

/// Requests of one host and path prefix, and how they are treated.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<service_weight> services;
    /// May run more than once for one request.
    bool idempotent = false;
    /// Answered by an event stream.
    bool streaming = false;
    /// A stream that another upstream may go on with from an event id; idempotent for that reason.
    bool resumable = false;
    /// Needs no workspace's key.
    bool anonymous = false;
    /// Upstreams that one request may be sent to.
    std::uint32_t max_attempts = 1;
    /// 0 is the most urgent.
    std::int32_t priority = 0;
    /// Longest time that a caller is kept waiting.
    milliseconds timeout{30000};
    /// Within this the answer, or a stream's first event, is on time.
    milliseconds latency_target{1000};
    /// Longest pause between events of a stream that is on time.
    milliseconds gap_target{1000};
};

/// What a model engine of a service can hold.
struct engine_capacity
{
    std::uint32_t slots = 1;
    std::uint64_t kv_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint32_t tokens_per_event = 1;
    /// How long one engine takes to hand a token of what it has read to another; 0: they can't.
    std::chrono::duration<double, std::milli> transfer_per_token{0};
};

struct service
{
    base::service_id id;
    /// Connections that one of its upstreams takes from all routers together.
    std::uint32_t max_connections = 100;
    /// How long one of its upstreams is cold after its start, and what it bears meanwhile, in
    /// requests a second from all routers together; 0: it is never cold.
    milliseconds warmup{0};
    double warmup_rate = 0;
    /// Present for services of model engines.
    std::optional<engine_capacity> engine;
};

struct workspace
{
    base::workspace_id id;
    std::optional<std::int32_t> priority;
    std::vector<std::string> keys;
};

/// What a caller may send, and how long it may take.
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
    /// What all engines give together: a token read counts once, a generated one twice. 0: unknown.
    double tokens_per_second = 0;
};

/// What the caller says of its request, decoded from however it says it.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

struct request_metadata
{
    base::request_id id;
    /// How long the caller waits, from when it sent the request.
    std::optional<milliseconds> caller_timeout;
    std::string key;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// The caller's guess of the output's tokens; 0: none.
    std::uint32_t output_hint = 0;
    /// The prompt's parts in order; all but the last are shared with other requests.
    std::vector<prompt_part> parts;
    std::optional<std::uint64_t> resume_after;
};

}  // namespace caraway::routing
