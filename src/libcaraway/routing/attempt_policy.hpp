#pragma once

#include <cstdint>

namespace caraway::routing
{

/// Outcome of sending a request to an upstream, as far as the router can tell.
enum class attempt_outcome
{
    answered,        ///< The complete answer was received.
    upstream_error,  ///< A complete answer was received; it reports a failure while running.
    refused,         ///< The upstream states that it did not and will not run the request.
    other_instance,  ///< Another instance uses the address; the request was not run.
    unreachable,     ///< The connection could not be made; nothing was sent.
    withheld,        ///< The upstream left before the request was written; nothing was sent.
    unknown,         ///< Sent, but no matching answer was received; it may have run.
    truncated,       ///< The answer began and ended prematurely.
};

/// Stable name for logs and answers, such as "other_instance".
const char* name(attempt_outcome value);

/// What decides whether a request may be sent again.
struct attempt_state
{
    /// Running the request twice has the same effect as running it once.
    bool idempotent = false;
    /// Another upstream can continue the stream from the last event.
    bool resumable = false;
    /// A part of the answer was sent to the caller.
    bool partly_delivered = false;
    /// Upstreams that the request was sent to, the latest included, and the maximum number of them.
    std::uint32_t sent = 0;
    std::uint32_t max_sent = 1;
    /// Attempts that ended before anything was sent, the latest included.
    std::uint32_t unsent = 0;
    /// The request may have run at an upstream, in this attempt or an earlier one.
    bool may_have_run = false;
    /// Enough time is left before the caller's deadline for another attempt.
    bool has_time_left = true;
};

enum class next_step
{
    deliver,       ///< Forward the answer to the caller.
    retry,         ///< Send the whole request to another upstream.
    resume,        ///< Have another upstream continue the stream.
    refuse,        ///< Tell the caller that the request was not run and when to retry.
    give_up,       ///< Tell the caller that the request may or may not have run.
    abort_answer,  ///< Close the caller's connection, so that the answer is not taken for complete.
};

/// Stable name for logs, such as "try_again".
const char* name(next_step value);

/// Returns the step that follows an attempt's outcome. The retry budget is not considered here:
/// the caller of this function checks it, and calls again with `max_sent` = `sent` if the budget
/// allows no retry.
///
/// `next_step::refuse` guarantees that the request has not run, so it is returned only if no
/// attempt may have run. A request that is neither idempotent nor resumable is sent again only
/// after an outcome that rules out a run.
next_step decide(attempt_outcome outcome, const attempt_state& state);

}  // namespace caraway::routing
