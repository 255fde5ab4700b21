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

/// Bounds of what is sent again.
struct retry_options
{
    /// Attempts of one request in all, the first and resumed streams included.
    std::uint32_t max_attempts = 3;
    /// Whole answers of these statuses are tried elsewhere when the call is idempotent; the last
    /// one is delivered.
    std::vector<std::uint16_t> retried_statuses = {502, 503, 504};
    /// No attempt begins with less than this left before the deadline.
    std::chrono::milliseconds min_time_left{50};
    /// Told to callers who may come back.
    std::chrono::milliseconds retry_after{1000};
};

/// What is known of a request when an attempt has ended.
struct retry_situation
{
    bool idempotent = false;
    base::time_point now{};
    base::time_point deadline{};
    /// Bytes of an upstream's answer that were passed on, its head included.
    std::uint64_t bytes_sent_to_caller = 0;
    /// Tokens of a stream that were passed on whole; nothing when no engine could resume it.
    std::optional<std::uint64_t> resumable_from_token{};
    /// False once the router's retry budget is used up.
    bool budget_left = true;
    /// False when the caller is gone: nothing more is sent for it.
    bool caller_present = true;
};

/// Pass the upstream's answer on, as it is.
struct deliver
{
    friend bool operator==(const deliver&, const deliver&) = default;
};

/// Queue it again, to be sent to another upstream if there is one.
struct retry_elsewhere
{
    base::upstream_id avoid;
    friend bool operator==(const retry_elsewhere&, const retry_elsewhere&) = default;
};

/// Continue the stream at another engine that can, from this token on (counted from 0).
struct resume_stream
{
    std::uint64_t from_token = 0;
    base::upstream_id avoid;
    friend bool operator==(const resume_stream&, const resume_stream&) = default;
};

/// Answer the caller with this error; no byte of an answer has gone out.
struct final_answer
{
    caller_error error;
    friend bool operator==(const final_answer&, const final_answer&) = default;
};

/// Part of an answer is out and can't be continued: break the caller's connection, so that the
/// answer can't look whole. The error goes to the log, and as a last event into an event stream.
struct abort_answer
{
    caller_error error;
    friend bool operator==(const abort_answer&, const abort_answer&) = default;
};

using retry_decision =
    std::variant<deliver, retry_elsewhere, resume_stream, final_answer, abort_answer>;

/// Decides what follows an attempt's end. What may have run is sent again only when the call is
/// idempotent; nothing is sent again once bytes went to the caller, but a stream that can resume.
class retry_policy
{
public:
    explicit retry_policy(retry_options options = {});

    /// After the end of the record's last attempt.
    retry_decision decide(const attempt_record& record, const retry_situation& situation) const;

    /// For a request whose deadline passes while it waits, before its first or next attempt.
    retry_decision decide_expired(const attempt_record& record,
                                  std::uint64_t bytes_sent_to_caller) const;

private:
    bool may_try_again(const attempt_record& record, const retry_situation& situation) const;
    caller_error explain(const attempt_record& record, bool out_of_time) const;

    retry_options options_;
};

}  // namespace caraway::attempts
