#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <chrono>
#include <string>
#include <variant>

namespace caraway::scheduling
{

/// Reason for which a request is not run; returned to the caller.
struct rejection
{
    base::errc code = base::errc::internal;
    std::string reason;
    /// Time after which a retry may succeed; 0 if a retry is pointless.
    std::chrono::milliseconds retry_after{0};
};

/// Send the request to the upstream immediately.
struct start_attempt
{
    base::request_number request{};
    base::upstream_id upstream;
    /// The router that granted the slot.
    base::node_ref owner;
    base::grant_number grant{};
    base::cost estimate;
};

/// Final response to a queued request that was not run and will not be run.
struct give_up
{
    base::request_number request{};
    rejection answer;
};

/// Send a message to another router. Delivery is not guaranteed.
struct send_message
{
    base::node_ref to;
    peer_message message;
};

/// An action requested by the scheduler. Actions have to be carried out in order.
using action = std::variant<start_attempt, give_up, send_message>;

/// Outcome of an attempt.
enum class attempt_result
{
    done,
    refused,      ///< Not run; refused by a healthy upstream.
    unreachable,  ///< Not run; the connection could not be established.
    overloaded,   ///< Not run; the upstream answered 429 or 503.
    failed,       ///< Aborted; it is unknown whether the request ran.
    cancelled,    ///< The caller disconnected.
};

/// The name of an outcome, for example "unreachable".
const char* name(attempt_result value);

}  // namespace caraway::scheduling
