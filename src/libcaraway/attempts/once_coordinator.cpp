#include "libcaraway/attempts/once_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace caraway::attempts
{

namespace
{

constexpr std::uint64_t first_rev = 1;

once_step replay_of(const once_record& record)
{
    if (record.has_body)
    {
        return replay{
            .status = record.status, .content_type = record.content_type, .body = record.body};
    }
    return refuse{make_caller_error(error_code::already_done,
                                    "The call with this idempotency key was answered with status " +
                                        std::to_string(record.status) +
                                        "; the answer's SHA-256 is " + record.answer_hash + ".")};
}

once_step refuse_unknown(std::string message)
{
    return refuse{make_caller_error(error_code::outcome_unknown, std::move(message))};
}

}  // namespace

once_coordinator::once_coordinator(once_options options, once_call call, holder_lookup holder)
    : options_(options), call_(std::move(call)),
      holder_(std::move(holder)), record_{.holder = call_.claimant,
                                          .fingerprint = call_.fingerprint,
                                          .started_at_ms = call_.now_ms}
{
}

once_step once_coordinator::start()
{
    if (abandoned_)
    {
        return close_with(settled{});
    }
    phase_ = phase::claiming;
    return insert();
}

once_step once_coordinator::on_write(write_reply reply)
{
    switch (phase_)
    {
    case phase::claiming:
        return claim_on_write(reply);
    case phase::recording:
        return record_on_write(reply);
    default:
        return settled{};
    }
}

once_step once_coordinator::on_read(const read_reply& reply)
{
    switch (phase_)
    {
    case phase::claiming:
        return claim_on_read(reply);
    case phase::recording:
        return record_on_read(reply);
    default:
        return settled{};
    }
}

once_step once_coordinator::finish(const once_answer& answer)
{
    if (phase_ != phase::sending)
    {
        return settled{};
    }
    record_.state = once_state::finished;
    record_.status = answer.status;
    record_.content_type = answer.content_type;
    record_.answer_hash = sha256(answer.body);
    record_.has_body = answer.body.size() <= options_.max_stored_body;
    record_.body = record_.has_body ? answer.body : std::string();
    return begin_record();
}

once_step once_coordinator::finish_without_answer(outcome result)
{
    if (phase_ != phase::sending)
    {
        return settled{};
    }
    record_.state = result == outcome::not_run ? once_state::released : once_state::unknown;
    return begin_record();
}

bool once_coordinator::abandon()
{
    if (proceeded_)
    {
        return false;
    }
    abandoned_ = true;
    return true;
}

std::chrono::milliseconds once_coordinator::backoff() const
{
    constexpr std::uint32_t max_doublings = 20;
    if (phase_ != phase::recording || store_calls_ < 2)
    {
        return std::chrono::milliseconds(0);
    }
    const auto doublings = std::min(store_calls_ - 2, max_doublings);
    return std::min(options_.initial_backoff * (1U << doublings), options_.max_backoff);
}

once_step once_coordinator::claim_on_write(write_reply reply)
{
    switch (reply)
    {
    case write_reply::ok:
        return start_sending(rev_);
    case write_reply::unavailable:
        return refuse_store_unavailable();
    case write_reply::conflict:
    case write_reply::unknown_effect:
        // Only the row shows which claim succeeded: the conflict may be with this call's own
        // earlier write whose reply was lost.
        return read();
    }
    return refuse_store_unavailable();
}

once_step once_coordinator::claim_on_read(const read_reply& reply)
{
    switch (reply.status)
    {
    case read_status::found:
        return evaluate_row(reply.row);
    case read_status::absent:
        // The insert without a reply may still take effect. A second one is safe, as only one of
        // them can succeed.
        return abandoned_ ? close_with(settled{}) : insert();
    case read_status::unavailable:
        return refuse_store_unavailable();
    }
    return refuse_store_unavailable();
}

once_step once_coordinator::record_on_write(write_reply reply)
{
    switch (reply)
    {
    case write_reply::ok:
        return close_with(settled{});
    case write_reply::conflict:
        return retry_record(read_row{.key = call_.key});
    case write_reply::unavailable:
    case write_reply::unknown_effect:
        return retry_record(
            replace_row{.key = call_.key, .expected_rev = rev_, .body = to_json(record_)});
    }
    return close_with(settled{});
}

once_step once_coordinator::record_on_read(const read_reply& reply)
{
    if (reply.status == read_status::unavailable)
    {
        return retry_record(read_row{.key = call_.key});
    }
    // The row was changed by this call's own write whose reply was lost, or by a later claim.
    return close_with(settled{});
}

once_step once_coordinator::insert()
{
    if (!take_claim_call())
    {
        return refuse_store_unavailable();
    }
    rev_ = first_rev;
    return insert_row{.key = call_.key, .body = to_json(record_)};
}

once_step once_coordinator::read()
{
    if (!take_claim_call())
    {
        return refuse_store_unavailable();
    }
    return read_row{.key = call_.key};
}

once_step once_coordinator::take_over(std::uint64_t rev)
{
    if (abandoned_)
    {
        return close_with(settled{});
    }
    if (!take_claim_call())
    {
        return refuse_store_unavailable();
    }
    rev_ = rev + 1;
    return replace_row{.key = call_.key, .expected_rev = rev, .body = to_json(record_)};
}

once_step once_coordinator::start_sending(std::uint64_t rev)
{
    rev_ = rev;
    if (abandoned_)
    {
        // The caller got not_run, so the call must never be sent.
        record_.state = once_state::released;
        return begin_record();
    }
    phase_ = phase::sending;
    proceeded_ = true;
    return proceed{};
}

once_step once_coordinator::evaluate_row(const stored_row& row)
{
    const auto parsed = parse_once_record(row.body);
    if (!parsed)
    {
        return close_with(refuse_unknown("The record of this idempotency key is malformed."));
    }
    const auto& found = parsed.value();
    if (found.holder == call_.claimant && found.state == once_state::started)
    {
        return start_sending(row.rev);
    }
    if (found.fingerprint != call_.fingerprint)
    {
        return close_with(refuse{
            make_caller_error(error_code::key_reused,
                              "This idempotency key was used with a different request before.")});
    }
    switch (found.state)
    {
    case once_state::finished:
        return close_with(replay_of(found));
    case once_state::unknown:
        return close_with(refuse_unknown(
            "The call with this idempotency key was sent, but its answer was lost."));
    case once_state::released:
        return take_over(row.rev);
    case once_state::started:
        return evaluate_started(found, row.rev);
    }
    return close_with(refuse_unknown("The record of this idempotency key is malformed."));
}

once_step once_coordinator::evaluate_started(const once_record& record, std::uint64_t rev)
{
    const auto holder = holder_(record.holder);
    if (holder == holder_state::not_sent)
    {
        return take_over(rev);
    }
    const std::chrono::milliseconds age(call_.now_ms - record.started_at_ms);
    if (holder == holder_state::running && age <= options_.in_progress_limit)
    {
        return close_with(refuse{make_caller_error(
            error_code::in_progress, "Another request with this idempotency key is in flight.",
            options_.retry_after)});
    }
    return close_with(refuse_unknown("The call with this idempotency key was started by a router "
                                     "that did not record its end."));
}

once_step once_coordinator::begin_record()
{
    phase_ = phase::recording;
    store_calls_ = 0;
    return retry_record(
        replace_row{.key = call_.key, .expected_rev = rev_, .body = to_json(record_)});
}

once_step once_coordinator::retry_record(once_step step)
{
    if (store_calls_ >= options_.max_record_calls)
    {
        return close_with(settled{});
    }
    ++store_calls_;
    return step;
}

once_step once_coordinator::close_with(once_step last)
{
    phase_ = phase::closed;
    if (abandoned_)
    {
        return settled{};
    }
    return last;
}

once_step once_coordinator::refuse_store_unavailable()
{
    return close_with(refuse{make_caller_error(
        error_code::store_unavailable,
        "This request was not sent: its key cannot be claimed while the table service is "
        "unavailable. If an earlier request with this key received no answer, its outcome remains "
        "unknown.",
        options_.retry_after)});
}

bool once_coordinator::take_claim_call()
{
    if (store_calls_ >= options_.max_claim_calls)
    {
        return false;
    }
    ++store_calls_;
    return true;
}

}  // namespace caraway::attempts
