// How requests end: upstreams' answers, the router's own, connections broken off, and what is told
// of each end.
#include "libcaraway/router/request_session.hpp"

#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/telemetry/rounding.hpp"

#include <algorithm>

namespace caraway::router
{

namespace
{

using http::view;
using std::chrono::milliseconds;
using telemetry::hundredths;

std::string decimal_seconds(milliseconds span)
{
    const auto text = std::to_string(span.count() % 1000 + 1000).substr(1);
    return std::to_string(span.count() / 1000) + "." + text;
}

/// Statuses by which a router tells its caller that the request has not run and never will.
bool promises_no_run(unsigned code)
{
    return code == 408 || code == 421 || code == 429 || code == 503;
}

}  // namespace

void request_session::deliver(const attempt& of)
{
    if (begun_)
    {
        request_->finish();
    }
    else if (promises_no_run(of.head->result_int()) && !is_idempotent())
    {
        // The upstream may have run it and says what, from a router, promises that it has not.
        answer(http::status::bad_gateway, "upstream_refused_after_start");
        return;
    }
    else
    {
        request_->respond(head_for_caller(*of.head), of.body);
    }
    if (core_.crashes.has_suspects())
    {
        core_.crashes.completed(fingerprint(), core_.now());
    }
    end("answered", of.head->result_int(), "");
}

http::response_head request_session::head_for_caller(const http::response_head& from) const
{
    auto head = http::make_response(from.result());
    head.result(from.result_int());
    for (const auto& each : from)
    {
        if (core_.protocol.passes_to_caller(view(each.name_string())))
        {
            head.insert(each.name_string(), each.value());
        }
    }
    return head;
}

void request_session::no_place(std::string_view reason)
{
    if (begun_)
    {
        break_off(reason);
        return;
    }
    if (may_have_run_)
    {
        answer(http::status::bad_gateway, reason);
        return;
    }
    refuse(reason);
}

void request_session::refuse(std::string_view reason)
{
    if (service_->engine)
    {
        core_.refused_requests.add(mark(), core_.now());
    }
    const auto come_back =
        std::min(routing::retry_after(*route_, standing().fill, core_.random_unit()),
                 std::max(milliseconds(0), time_left() / 3));
    answer(http::status::service_unavailable, reason, come_back);
}

void request_session::answer(http::status code, std::string_view reason,
                             std::optional<milliseconds> come_back)
{
    auto head = http::make_response(code);
    head.set(http::field::content_type, "application/json");
    if (come_back)
    {
        head.set(http::field::retry_after, decimal_seconds(*come_back));
    }
    const nlohmann::json body{{"error", reason}};
    request_->respond(std::move(head), body.dump());
    end("own_answer", static_cast<unsigned>(code), reason);
}

void request_session::break_off(std::string_view reason)
{
    request_->abort();
    end("broken_off", 0, reason);
}

void request_session::end(std::string_view outcome, unsigned status, std::string_view reason)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    core_.active_streams -= admitted_ ? 1 : 0;
    core_.timers.cancel(deadline_timer_);
    if (ticket_)
    {
        core_.dequeue(*ticket_);
        ticket_.reset();
    }
    core_.metrics
        .counter({.name = "caraway_requests_total", .help = "Requests ended, by outcome."},
                 {{"outcome", std::string(outcome)},
                  {"status", std::to_string(status)},
                  {"reason", std::string(reason.substr(0, 24))}})
        .add();
    core_.metrics
        .histogram({.name = "caraway_request_seconds",
                    .help = "Time from a request's first byte to its end, in seconds."},
                   {{"outcome", std::string(outcome)}})
        .observe(core_.now() - request_->arrived());
    if (core_.log.takes_request_line())
    {
        log_end(outcome, status, reason);
    }
}

void request_session::log_end(std::string_view outcome, unsigned status, std::string_view reason)
{
    const auto now = core_.now();
    nlohmann::ordered_json line{{"request", facts_.id.str()},
                                {"outcome", outcome},
                                {"status", status},
                                {"took_ms", to_milliseconds(now - request_->arrived()).count()}};
    if (!reason.empty())
    {
        line["reason"] = reason;
    }
    if (route_ != nullptr)
    {
        line["route"] = route_->name;
        line["workspace"] = account_.str();
        line["version"] = static_cast<std::uint64_t>(table_->accepted().version);
        line["sent"] = sent_;
        line["returned"] = returned_;
        const auto of = standing();
        line["fill"] = hundredths(of.fill);
        line["ahead"] = hundredths(of.ahead);
    }
    if (!tried_.empty())
    {
        line["upstream"] = tried_.back().str();
    }
    if (service_ != nullptr && service_->engine)
    {
        line["prompt"] = facts_.prompt_tokens;
        line["output"] = expected_output();
        line["patience_ms"] = facts_.patience.value_or(milliseconds(0)).count();
    }
    if (sent_by_)
    {
        line["placed_ms"] = to_milliseconds(sent_at_ - request_->arrived()).count();
        line["wait_ms"] = sent_by_->wait.count();
        line["unread"] = sent_by_->load.unread_tokens;
        line["running"] = sent_by_->running;
        if (sent_by_->source)
        {
            line["fetched_from"] = sent_by_->source->id.str();
        }
    }
    if (begun_)
    {
        line["first_ms"] = to_milliseconds(first_piece_ - request_->arrived()).count();
        line["pause_ms"] = to_milliseconds(longest_pause_).count();
    }
    core_.log.request_line("request", line);
}

}  // namespace caraway::router
