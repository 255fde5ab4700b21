#pragma once

#include "libcaraway/attempts/outcome.hpp"
#include "libcaraway/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace caraway::attempts
{

/// Why a caller receives an error instead of an upstream's answer. The names are part of the API.
/// Status 503 is used only if the request was provably not run.
enum class error_code
{
    invalid_request,       ///< 400
    unauthenticated,       ///< 401
    permission_denied,     ///< 403
    not_found,             ///< 404: unknown service, model or path.
    request_timeout,       ///< 408: the caller did not send its request in time.
    in_progress,           ///< 409: another request with this key or ticket is in flight.
    already_done,          ///< 409: the call with this key was answered; its body is not stored.
    outcome_unknown,       ///< 409: the call with this key or ticket was sent; its result is lost.
    ticket_void,           ///< 409: the ticket is unknown, expired or of an earlier incarnation.
    body_too_large,        ///< 413
    key_reused,            ///< 422: the key was used with a different request.
    crashes_upstreams,     ///< 422: upstreams crashed while running this request.
    too_many_requests,     ///< 429: queue full, or quota or rate limit exceeded.
    headers_too_large,     ///< 431
    internal,              ///< 500: fault in the router; the request may have been sent.
    upstream_lost,         ///< 502: sent, but no complete answer was received.
    upstream_unavailable,  ///< 503: no upstream that was tried started the request.
    no_upstream,           ///< 503: no upstream currently serves this request.
    wait_expired,          ///< 503: the deadline passed before the request was sent.
    store_unavailable,     ///< 503: the table service is required and unavailable.
    stopping,              ///< 503: this router is shutting down; use another one.
    upstream_timeout,      ///< 504: sent, but no complete answer was received in time.
};

/// Name of the code in the API, such as "in_progress".
const char* name(error_code code);
std::uint16_t http_status(error_code code);
/// Error type for OpenAI-compatible clients, such as "invalid_request_error".
const char* type(error_code code);
/// The outcome that the code implies unless more is known about the request.
outcome default_outcome(error_code code);

/// Error sent to the caller instead of an upstream's answer.
struct caller_error
{
    error_code code = error_code::internal;
    std::string message{};
    outcome result = outcome::unknown;
    /// Delay after which the caller may retry; sent as the Retry-After header, see
    /// retry_after_header().
    std::optional<std::chrono::milliseconds> retry_after{};

    friend bool operator==(const caller_error&, const caller_error&) = default;
};

/// Creates an error with the default outcome of its code.
caller_error make_caller_error(error_code code, std::string message,
                               std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

/// JSON body: {"error": {"message", "type", "code", "outcome", "request_id"}}
std::string to_json(const caller_error& error, const base::request_id& request);

/// Value of the Retry-After header: seconds, rounded up and at least 1. nullopt without a
/// retry_after.
std::optional<std::string> retry_after_header(const caller_error& error);

}  // namespace caraway::attempts
