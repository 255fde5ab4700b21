#include "carawayd/traffic/session.hpp"

#include "carawayd/journal/request_journal.hpp"
#include "carawayd/traffic/request_naming.hpp"
#include "carawayd/traffic/session_services.hpp"
#include "carawayd/traffic/traffic_metrics.hpp"
#include "libcaraway/net/http_client.hpp"
#include "libcaraway/net/http_exchange.hpp"

#include <QJsonObject>
#include <QString>
#include <QTimer>

#include <utility>

namespace carawayd::traffic
{

using caraway::attempts::attempt_end;
using caraway::attempts::end_kind;
using caraway::attempts::error_code;
using caraway::attempts::make_caller_error;
using caraway::attempts::outcome;
using caraway::base::cost;
using caraway::base::errc;
using caraway::scheduling::attempt_result;

namespace
{

constexpr const char* journal_part = "request";
/// While the caller takes its answer more slowly than the upstream gives it, this much is held for
/// it.
constexpr std::size_t most_unsent_bytes = std::size_t{256} * 1024;
constexpr int first_server_error = 500;

error_code code_for(errc code)
{
    switch (code)
    {
    case errc::resource_exhausted:
        return error_code::too_many_requests;
    case errc::timeout:
        return error_code::wait_expired;
    case errc::not_found:
        return error_code::not_found;
    case errc::permission_denied:
        return error_code::permission_denied;
    case errc::invalid_argument:
        return error_code::invalid_request;
    default:
        return error_code::no_upstream;
    }
}

attempt_result result_of(const attempt_end& how)
{
    switch (how.kind)
    {
    case end_kind::answered:
        return how.status >= first_server_error ? attempt_result::failed : attempt_result::done;
    case end_kind::refused:
    case end_kind::not_sent:
        return attempt_result::unreachable;
    case end_kind::not_started:
        return attempt_result::overloaded;
    case end_kind::cancelled:
        return attempt_result::cancelled;
    case end_kind::lost:
    case end_kind::timed_out:
        return attempt_result::failed;
    }
    return attempt_result::failed;
}

const char* text(end_kind kind)
{
    switch (kind)
    {
    case end_kind::answered:
        return "answered";
    case end_kind::refused:
        return "refused";
    case end_kind::not_sent:
        return "not_sent";
    case end_kind::not_started:
        return "not_started";
    case end_kind::lost:
        return "lost";
    case end_kind::timed_out:
        return "timed_out";
    case end_kind::cancelled:
        return "cancelled";
    }
    return "lost";
}

}  // namespace

session::session(session_services& services, std::shared_ptr<caraway::net::http_exchange> exchange,
                 call_plan plan, caraway::base::request_number number)
    : services_(services), exchange_(std::move(exchange)), plan_(std::move(plan)), number_(number),
      id_(make_request_id(services.self, number)), relay_(exchange_, id_),
      record_(services.self, number), arrival_(services.clock.now())
{
    connect(exchange_.get(), &caraway::net::http_exchange::caller_gone, this,
            &session::on_caller_gone);
    connect(exchange_.get(), &caraway::net::http_exchange::drained, this, &session::on_drained);
}

session::~session() = default;

void session::start()
{
    services_.journal.record(id_, journal_part, "arrived",
                             {{"workspace", QString::fromStdString(plan_.workspace.str())},
                              {"service", QString::fromStdString(plan_.service.id.str())},
                              {"idempotent", plan_.idempotent},
                              {"hint", plan_.hint.value()}});
    if (!plan_.once_key)
    {
        submit();
        return;
    }
    const auto fingerprint = caraway::attempts::once_fingerprint(
        plan_.workspace, plan_.method, plan_.service.id.str() + plan_.target,
        plan_.body.toStdString());
    services_.control.claim({.request = number_,
                             .workspace = plan_.workspace,
                             .key = *plan_.once_key,
                             .fingerprint = fingerprint,
                             .from = services_.worker});
}

void session::take_claim_verdict(const claim_verdict& verdict)
{
    if (state_ != state::claiming)
    {
        return;
    }
    if (std::holds_alternative<caraway::attempts::proceed>(verdict))
    {
        claimed_ = true;
        services_.journal.record(id_, journal_part, "claimed its key");
        submit();
        return;
    }
    if (const auto* recorded = std::get_if<caraway::attempts::replay>(&verdict))
    {
        services_.journal.record(id_, journal_part, "answered from the record of its key");
        relay_.replay(*recorded);
        finish(outcome::done);
        return;
    }
    const auto& refusal = std::get<caraway::attempts::refuse>(verdict);
    relay_.refuse(refusal.error);
    finish(refusal.error.result);
}

void session::submit()
{
    state_ = state::queued;
    services_.control.submit({.request = {.number = number_,
                                          .workspace = plan_.workspace,
                                          .service = plan_.service.id,
                                          .hint = plan_.hint,
                                          .idempotent = plan_.idempotent,
                                          .affinity = plan_.affinity,
                                          .arrival = arrival_,
                                          .deadline = plan_.deadline},
                              .id = id_,
                              .from = services_.worker});
}

void session::start_attempt(const upstream_target& target)
{
    if (state_ != state::queued || !caller_present_)
    {
        // The caller left while the grant was on its way: give the slot back unused.
        services_.control.attempt_ended({.request = number_, .result = attempt_result::cancelled});
        finish(record_.overall_outcome());
        return;
    }
    state_ = state::attempting;
    attempt_start_ = services_.clock.now();
    if (record_.attempts().empty())
    {
        services_.metrics.waited(plan_.service.id, attempt_start_ - arrival_);
    }
    services_.metrics.attempt_started(plan_.service.id);
    record_.begin(target.id);
    requested_rest_.reset();
    relay_.begin_attempt();
    call_ = services_.client.start(upstream_request(target));
    connect(call_.get(), &caraway::net::http_call::head, this, &session::on_head);
    connect(call_.get(), &caraway::net::http_call::data, this, &session::on_data);
    connect(call_.get(), &caraway::net::http_call::ended, this, &session::on_call_ended);
    deadline_timer_ = std::make_unique<QTimer>();
    deadline_timer_->setSingleShot(true);
    connect(deadline_timer_.get(), &QTimer::timeout, this, &session::on_deadline);
    deadline_timer_->start(std::chrono::ceil<std::chrono::milliseconds>(
        std::max(plan_.deadline - attempt_start_, caraway::base::duration::zero())));
    services_.journal.record(id_, journal_part, "attempt started",
                             {{"upstream", QString::fromStdString(target.id.str())},
                              {"attempt", static_cast<int>(record_.attempts().size())}});
}

void session::give_up(const caraway::scheduling::rejection& why)
{
    if (state_ != state::queued)
    {
        return;
    }
    services_.journal.record(id_, "scheduler", "gave it up",
                             {{"reason", QString::fromStdString(why.reason)}});
    if (!record_.attempts().empty())
    {
        follow(services_.policy.decide(record_, situation(false)));
        return;
    }
    auto error = make_caller_error(code_for(why.code), why.reason);
    error.result = outcome::not_run;
    if (why.retry_after.count() > 0)
    {
        error.retry_after = why.retry_after;
    }
    follow(caraway::attempts::final_answer{.error = std::move(error)});
}

std::optional<progress_note> session::take_progress()
{
    if (state_ != state::attempting || cost_so_far() <= reported_)
    {
        return std::nullopt;
    }
    reported_ = cost_so_far();
    return progress_note{.request = number_, .streamed = reported_};
}

const caraway::base::request_id& session::id() const
{
    return id_;
}

void session::on_head(int status, std::vector<caraway::net::http_header> headers)
{
    requested_rest_ = caraway::net::requested_rest(status, headers);
    relay_.take_head(status, std::move(headers));
}

void session::on_data(const QByteArray& bytes)
{
    if (!first_data_seen_)
    {
        first_data_seen_ = true;
        services_.metrics.first_data(plan_.service.id, services_.clock.now() - arrival_);
        services_.journal.record(id_, journal_part, "first data came");
    }
    const std::uint32_t tokens = relay_.take_data(bytes);
    tokens_ += tokens;
    services_.metrics.tokens(plan_.service.id, tokens);
    if (call_ && exchange_->unsent_bytes() > most_unsent_bytes)
    {
        call_->set_paused(true);
    }
}

void session::on_call_ended(const caraway::net::call_end& end)
{
    if (state_ != state::attempting)
    {
        return;
    }
    deadline_timer_.reset();
    call_.reset();
    state_ = state::queued;
    const attempt_end how = end_of(end);
    const auto running = record_.attempts().back().id;
    record_.end(running, how, relay_.bytes_passed_on());
    const auto decision = services_.policy.decide(record_, situation(true));
    const bool again = std::holds_alternative<caraway::attempts::retry_elsewhere>(decision) ||
                       std::holds_alternative<caraway::attempts::resume_stream>(decision);
    services_.journal.record(id_, journal_part, "attempt ended",
                             {{"end", text(how.kind)},
                              {"status", how.status},
                              {"error", QString::fromStdString(end.error.message)},
                              {"cost", cost_so_far().value()},
                              {"tried again", again}});
    report_attempt(how, again);
    follow(decision);
}

void session::on_caller_gone()
{
    caller_present_ = false;
    services_.journal.record(id_, journal_part, "caller went away");
    switch (state_)
    {
    case state::claiming:
        services_.control.claim_abandoned(number_);
        finish(outcome::not_run);
        return;
    case state::queued:
        services_.control.cancel(number_);
        finish(record_.overall_outcome());
        return;
    case state::attempting:
        if (!must_run_to_the_end())
        {
            call_->abort();
        }
        return;
    case state::ended:
        return;
    }
}

void session::on_drained()
{
    if (call_)
    {
        call_->set_paused(false);
    }
}

void session::on_deadline()
{
    deadline_passed_ = true;
    call_->abort();
}

caraway::net::client_request session::upstream_request(const upstream_target& target) const
{
    caraway::net::client_request sent{.method = plan_.method,
                                      .host = target.host,
                                      .port = target.port,
                                      .target = plan_.target,
                                      .headers = plan_.headers,
                                      .body = plan_.body,
                                      .reuse_connection = plan_.idempotent};
    sent.timeouts = {.connect = services_.timeouts.connect,
                     .first_byte = services_.timeouts.first_byte,
                     .idle = services_.timeouts.progress};
    sent.headers.push_back({"X-Request-Id", id_.str()});
    sent.headers.push_back({caraway::attempts::attempt_id_header,
                            caraway::attempts::to_text(record_.attempts().back().id)});
    if (plan_.model && resuming_)
    {
        sent.body = resumed_body(*plan_.model, *relay_.tokens_passed_on());
    }
    return sent;
}

attempt_end session::end_of(const caraway::net::call_end& end) const
{
    if (end.whole && relay_.whole())
    {
        return caraway::attempts::classify_answer(static_cast<std::uint16_t>(end.status),
                                                  plan_.service.not_started_statuses);
    }
    if (!end.whole && end.sent == caraway::net::delivery::nothing_sent)
    {
        return {.kind =
                    end.error.code == errc::unavailable ? end_kind::refused : end_kind::not_sent};
    }
    if (deadline_passed_ || end.error.code == errc::timeout)
    {
        return {.kind = end_kind::timed_out};
    }
    return {.kind = caller_present_ ? end_kind::lost : end_kind::cancelled};
}

caraway::attempts::retry_situation session::situation(bool budget_left) const
{
    caraway::attempts::retry_situation now{.idempotent = plan_.idempotent,
                                           .now = services_.clock.now(),
                                           .deadline = plan_.deadline,
                                           .bytes_sent_to_caller = relay_.bytes_passed_on(),
                                           .budget_left = budget_left,
                                           .caller_present = caller_present_};
    if (plan_.model)
    {
        now.resumable_from_token = relay_.tokens_passed_on();
    }
    return now;
}

cost session::cost_so_far() const
{
    if (plan_.model)
    {
        return plan_.model->prompt_cost + cost(static_cast<double>(tokens_));
    }
    const std::chrono::duration<double, std::milli> busy = services_.clock.now() - attempt_start_;
    return cost(busy.count());
}

void session::report_attempt(const attempt_end& how, bool retry)
{
    const bool ran = caraway::attempts::classify(how, relay_.bytes_passed_on()) != outcome::not_run;
    cost total = ran ? cost_so_far() : cost();
    if (ran && plan_.model && !plan_.model->stream)
    {
        total = answer_cost(relay_.body(), total);
    }
    services_.control.attempt_ended({.request = number_,
                                     .total = total,
                                     .result = result_of(how),
                                     .retry = retry,
                                     .requested_rest = requested_rest_});
}

void session::follow(const caraway::attempts::retry_decision& decision)
{
    if (std::holds_alternative<caraway::attempts::retry_elsewhere>(decision))
    {
        return;
    }
    if (std::holds_alternative<caraway::attempts::resume_stream>(decision))
    {
        resuming_ = true;
        return;
    }
    if (std::holds_alternative<caraway::attempts::deliver>(decision))
    {
        relay_.deliver();
        finish(record_.overall_outcome());
        return;
    }
    if (const auto* answer = std::get_if<caraway::attempts::final_answer>(&decision))
    {
        services_.metrics.refused(caraway::attempts::http_status(answer->error.code));
        services_.journal.record(id_, journal_part, "answered with an error",
                                 {{"code", caraway::attempts::name(answer->error.code)},
                                  {"outcome", caraway::attempts::name(answer->error.result)},
                                  {"message", QString::fromStdString(answer->error.message)}});
        relay_.refuse(answer->error);
        finish(answer->error.result);
        return;
    }
    services_.journal.record(id_, journal_part, "caller's connection broken off");
    relay_.break_off();
    finish(record_.overall_outcome());
}

void session::finish(outcome result)
{
    if (state_ == state::ended)
    {
        return;
    }
    state_ = state::ended;
    settle_claim(result);
    services_.metrics.request_ended(plan_.service.id, plan_.workspace, result,
                                    services_.clock.now() - arrival_);
    services_.journal.record(id_, journal_part, "ended",
                             {{"outcome", caraway::attempts::name(result)}});
    Q_EMIT over();
}

void session::settle_claim(outcome result)
{
    if (!claimed_)
    {
        return;
    }
    claimed_ = false;
    if (result == outcome::done)
    {
        services_.control.claim_ended({.request = number_, .end = relay_.recorded()});
        return;
    }
    services_.control.claim_ended({.request = number_, .end = result});
}

bool session::must_run_to_the_end() const
{
    // A call that may run only once is not cut short half way: its effect would be unknown to
    // everybody. It goes on without its caller, and its answer is recorded for the caller's repeat.
    return !plan_.idempotent;
}

}  // namespace carawayd::traffic
