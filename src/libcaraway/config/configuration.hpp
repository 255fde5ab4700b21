#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway::config
{

/// SHA-256 in lower-case hex. Keys are stored as hashes, and documents are named by their hash.
using sha256_hex = std::string;

/// A customer's team: its share and the hashes of its callers' keys.
struct workspace
{
    base::workspace_id id;
    base::share weight;
    std::vector<sha256_hex> key_hashes;
    /// Requests that may wait at one router; further ones are rejected at once with Retry-After.
    std::uint32_t max_waiting = 256;
    /// Services that may be called; empty means all.
    std::vector<base::service_id> services;
};

enum class service_kind
{
    model,  ///< OpenAI-compatible; selected by the model's name in the request.
    plain,  ///< Selected by the first segments of the path, /s/<service>/...
};

/// Overrides for some calls of a plain service whether they may be retried, regardless of the
/// method's default.
struct call_rule
{
    std::string method;       ///< Upper case, or "*".
    std::string path_prefix;  ///< After /s/<service>; starts with '/'.
    bool idempotent = false;
};

/// A service that workspaces call.
struct service
{
    base::service_id id;
    service_kind kind = service_kind::model;
    /// The first matching rule applies; without a match, GET, HEAD, OPTIONS, PUT and DELETE are
    /// idempotent.
    std::vector<call_rule> rules;
    /// Limit on a request's total time, including time in the queue.
    std::chrono::milliseconds timeout{120000};
    /// Cost assumed for a request without a hint.
    base::cost default_cost{200};
    /// HTTP statuses with which this service's upstreams signal that they have not started the
    /// call, such as 429 or 503; empty when no status guarantees that.
    std::vector<std::uint16_t> not_started_statuses{};
};

/// A back end that serves one service.
struct upstream
{
    base::upstream_id id;
    base::service_id service;
    std::string host;  ///< IP address.
    std::uint16_t port = 0;
    base::zone_id zone;
    /// Requests that the upstream runs concurrently: a model engine's batch size, a plain service's
    /// limit.
    base::slots slots = 1;
    /// Whether the upstream refuses a request with a stale fencing number.
    bool checks_fencing = false;
    /// Finishes its requests in flight and gets no new ones.
    bool draining = false;
};

/// A person who may propose or approve changes; with neither permission, read only.
struct operator_account
{
    base::operator_id id;
    std::vector<sha256_hex> key_hashes;
    bool may_propose = false;
    bool may_approve = false;
};

/// Number of operators other than the proposer who must approve a change of a part. Parts:
/// "workspaces", "services", "upstreams", "operators", "review", or "*".
struct review_rule
{
    std::string part;
    std::uint32_t approvals = 1;
};

/// An accepted or proposed configuration, merged from its files and validated.
struct configuration
{
    std::map<base::workspace_id, workspace> workspaces;
    std::map<base::service_id, service> services;
    std::map<base::upstream_id, upstream> upstreams;
    std::map<base::operator_id, operator_account> operators;
    std::vector<review_rule> review;
};

/// A configuration in force, with its version (numbered in order of acceptance) and its document's
/// hash.
struct accepted_configuration
{
    base::config_version version{};
    sha256_hex hash;
    configuration content;
};

}  // namespace caraway::config
