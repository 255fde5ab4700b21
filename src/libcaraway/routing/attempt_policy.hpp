#pragma once

#include <cstdint>

namespace caraway::routing
{

/// How an attempt at an upstream ended, as far as is known.
enum class attempt_outcome
{
    answered,        ///< Its whole answer is here.
    upstream_error,  ///< Its whole answer is here, and says that it failed while it ran.
    refused,         ///< It says that it did not run the request and never will.
    other_instance,  ///< Another instance has the address; the request was not run.
    unreachable,     ///< No connection; nothing was sent.
    unknown,         ///< Sent, and no answer that belongs to it came; it may have run.
    truncated,       ///< The answer began and was cut off.
};

/// The stable name, as in "other_instance".
const char* name(attempt_outcome value);

/// What the request may still do.
struct attempt_state
{
    /// A second run does no harm.
    bool idempotent = false;
    /// Another upstream can go on where the stream broke off.
    bool resumable = false;
    /// A part of the answer is with the caller, or on its way.
    bool partly_delivered = false;
    /// Upstreams that it was sent to, this one included, and how many are allowed.
    std::uint32_t sent = 0;
    std::uint32_t max_sent = 1;
    /// Connections that failed before anything was sent, this one included.
    std::uint32_t unreachable = 0;
    /// An earlier attempt may have run.
    bool may_have_run = false;
    /// The caller still waits long enough for another attempt.
    bool has_time_left = true;
};

enum class next_step
{
    deliver,       ///< Hand the answer to the caller.
    retry,         ///< Send the whole request to another upstream.
    resume,        ///< Have another upstream go on with the stream.
    refuse,        ///< Tell the caller that it was not run and when to come back.
    give_up,       ///< Tell the caller that nobody knows whether it ran.
    abort_answer,  ///< End the caller's connection, so that the answer doesn't look complete.
};

/// The stable name, as in "try_again".
const char* name(next_step value);

/// What follows from an attempt's end. Whether the retry budget allows a repeat is asked by the
/// caller of this function, who calls again with `max_sent` = `sent` where it does not.
///
/// A refusal promises that the request has not run, so it is given only while no attempt may have
/// run; a request that isn't idempotent is sent again only under the same condition.
next_step decide(attempt_outcome end, const attempt_state& state);

}  // namespace caraway::routing
