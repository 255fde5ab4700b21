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

/// Why a request is not run, as the caller is told at once.
struct rejection
{
    base::errc code = base::errc::internal;
    std::string reason;
    /// When coming back makes sense; 0 if it doesn't.
    std::chrono::milliseconds retry_after{0};
};

/// Send this request to that upstream now.
struct start_attempt
{
    base::request_number request{};
    base::upstream_id upstream;
    /// Who granted the slot, and what the request is expected to cost.
    base::node_ref owner;
    base::grant_number grant{};
    base::cost estimate;
};

/// The final answer to a request that waited: it has not run and won't.
struct give_up
{
    base::request_number request{};
    rejection answer;
};

/// Send a message to another router; it may get lost.
struct send_message
{
    base::node_ref to;
    peer_message message;
};

/// What the scheduler wants done. In order.
using action = std::variant<start_attempt, give_up, send_message>;

/// How an attempt ended.
enum class attempt_result
{
    done,
    refused,      ///< Not run; the upstream is healthy.
    unreachable,  ///< Not run; no connection.
    overloaded,   ///< Not run; 429 or 503.
    failed,       ///< Broken off; unknown whether it ran.
    cancelled,    ///< The caller went away.
};

/// The stable name, as in "unreachable".
const char* name(attempt_result value);

}  // namespace caraway::scheduling
