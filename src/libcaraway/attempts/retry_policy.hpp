#pragma once

#include "libcaraway/attempts/attempt_record.hpp"
#include "libcaraway/attempts/caller_error.hpp"
#include "libcaraway/base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace caraway::attempts
{

/// Limits on retries.
struct retry_options
{
    /// Maximum number of attempts per request, including the first one and resumed streams.
    std::uint32_t max_attempts = 3;
    /// HTTP statuses of complete answers after which an idempotent call is sent to another
    /// upstream. If no retry is possible, the answer is delivered.
    std::vector<std::uint16_t> retried_statuses = {502, 503, 504};
    /// No attempt starts with less than this time left before the deadline.
    std::chrono::milliseconds min_time_left{50};
    /// Retry-After sent to callers whose request was not run.
    std::chrono::milliseconds retry_after{1000};
};

/// State of a request after an attempt has ended.
struct retry_situation
{
    bool idempotent = false;
    base::time_point now{};
    base::time_point deadline{};
    /// Bytes of upstream answers relayed to the caller, including the header.
    std::uint64_t bytes_sent_to_caller = 0;
    /// Number of complete tokens relayed to the caller; nullopt if no engine can resume the stream.
    std::optional<std::uint64_t> resumable_from_token{};
    /// False once the retry budget of the router is exhausted.
    bool budget_left = true;
    /// False once the caller has disconnected; nothing more is sent for the request then.
    bool caller_present = true;
};

/// Relay the upstream's answer unchanged.
struct deliver
{
    friend bool operator==(const deliver&, const deliver&) = default;
};

/// Queue the request again, to be sent to an upstream other than `avoid` if there is one.
struct retry_elsewhere
{
    base::upstream_id avoid;
    friend bool operator==(const retry_elsewhere&, const retry_elsewhere&) = default;
};

/// Resume the stream at another engine that supports it, starting at `from_token` (counted from 0).
struct resume_stream
{
    std::uint64_t from_token = 0;
    base::upstream_id avoid;
    friend bool operator==(const resume_stream&, const resume_stream&) = default;
};

/// Send this error to the caller; no byte of an answer has been sent yet.
struct final_answer
{
    caller_error error;
    friend bool operator==(const final_answer&, const final_answer&) = default;
};

/// Close the caller's connection, because part of an answer has been sent and the answer can't be
/// continued; otherwise the truncated answer would look complete. The error is logged, and sent as
/// the last event of an event stream.
struct abort_answer
{
    caller_error error;
    friend bool operator==(const abort_answer&, const abort_answer&) = default;
};

using retry_decision =
    std::variant<deliver, retry_elsewhere, resume_stream, final_answer, abort_answer>;

/// Decides how to proceed after an attempt has ended. A request that may have run is sent again
/// only if the call is idempotent. Once bytes have been sent to the caller, the request is not sent
/// again unless the stream can be resumed.
class retry_policy
{
public:
    explicit retry_policy(retry_options options = {});

    /// Decides after the last attempt in `record` has ended. Terminates the process if `record` has
    /// no attempt or its last attempt still runs.
    retry_decision decide(const attempt_record& record, const retry_situation& situation) const;

    /// Decides for a request whose deadline passed in the queue, before its first or next attempt.
    retry_decision decide_expired(const attempt_record& record,
                                  std::uint64_t bytes_sent_to_caller) const;

private:
    bool may_retry(const attempt_record& record, const retry_situation& situation) const;
    caller_error make_final_error(const attempt_record& record, bool deadline_passed) const;

    retry_options options_;
};

}  // namespace caraway::attempts
