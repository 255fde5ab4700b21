#include "libcaraway/attempts/retry_policy.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace caraway::attempts
{

namespace
{

bool contains(const std::vector<std::uint16_t>& statuses, std::uint16_t status)
{
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

std::string attempts_text(const attempt_record& record)
{
    const auto count = record.attempts().size();
    return std::to_string(count) + (count == 1 ? " attempt" : " attempts");
}

}  // namespace

retry_policy::retry_policy(retry_options options) : options_(std::move(options)) {}

retry_decision retry_policy::decide(const attempt_record& record,
                                    const retry_situation& situation) const
{
    if (record.attempts().empty() || !record.attempts().back().end)
    {
        std::terminate();  // Without an ended attempt there is nothing to decide.
    }
    const auto& last = record.attempts().back();
    const bool answered = last.end->kind == end_kind::answered;
    const bool nothing_relayed = situation.bytes_sent_to_caller == 0;
    if (answered && (!nothing_relayed || !contains(options_.retried_statuses, last.end->status)))
    {
        return deliver{};
    }
    const bool repeatable = situation.idempotent || record.overall_outcome() == outcome::not_run;
    if (repeatable && may_retry(record, situation))
    {
        if (nothing_relayed)
        {
            return retry_elsewhere{.avoid = last.upstream};
        }
        if (situation.resumable_from_token)
        {
            return resume_stream{.from_token = *situation.resumable_from_token,
                                 .avoid = last.upstream};
        }
    }
    if (answered)
    {
        return deliver{};
    }
    auto error = make_final_error(record, situation.now >= situation.deadline);
    if (nothing_relayed)
    {
        return final_answer{std::move(error)};
    }
    return abort_answer{std::move(error)};
}

retry_decision retry_policy::decide_expired(const attempt_record& record,
                                            std::uint64_t bytes_sent_to_caller) const
{
    auto error = make_final_error(record, true);
    if (bytes_sent_to_caller == 0)
    {
        return final_answer{std::move(error)};
    }
    return abort_answer{std::move(error)};
}

bool retry_policy::may_retry(const attempt_record& record, const retry_situation& situation) const
{
    return situation.caller_present && situation.budget_left &&
           record.attempts().size() < options_.max_attempts &&
           situation.now + options_.min_time_left <= situation.deadline;
}

caller_error retry_policy::make_final_error(const attempt_record& record,
                                            bool deadline_passed) const
{
    if (record.overall_outcome() == outcome::not_run)
    {
        if (deadline_passed)
        {
            return make_caller_error(error_code::wait_expired,
                                     "The deadline passed before the request was sent.",
                                     options_.retry_after);
        }
        return make_caller_error(error_code::upstream_unavailable,
                                 "No upstream started the request (" + attempts_text(record) + ").",
                                 options_.retry_after);
    }
    const auto& last = record.attempts().back();
    const bool timed_out = last.end && last.end->kind == end_kind::timed_out;
    if (deadline_passed || timed_out)
    {
        return make_caller_error(
            error_code::upstream_timeout,
            "The request was sent, but no complete answer was received in time (" +
                attempts_text(record) + ").");
    }
    return make_caller_error(error_code::upstream_lost,
                             "The request was sent, but the upstream's answer was lost (" +
                                 attempts_text(record) + ").");
}

}  // namespace caraway::attempts
