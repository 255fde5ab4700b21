// How requests end: answers of upstreams, answers of the router itself, aborted connections, and
// the metrics and log lines of each end.
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
using telemetry::round_to_hundredths;

std::string decimal_seconds(milliseconds duration)
{
    const auto text = std::to_string(duration.count() % 1000 + 1000).substr(1);
    return std::to_string(duration.count() / 1000) + "." + text;
}

/// Statuses by which a router guarantees its caller that the request has not run and never will.
bool guarantees_not_run(unsigned code)
{
    return code == 408 || code == 421 || code == 429 || code == 503;
}

bool found_no_place(std::string_view reason)
{
    return reason == "waited" || reason == "no_place";
}

routing::refusal_cause cause_of(std::string_view reason, const routing::share_status& share)
{
    const bool within_share = share.largest_used() < 1;
    return found_no_place(reason) && within_share ? routing::refusal_cause::engines
                                                  : routing::refusal_cause::other;
}

}  // namespace

void request_session::deliver(const attempt& current)
{
    if (answer_begun_)
    {
        request_->finish();
    }
    else if (guarantees_not_run(current.head->result_int()) && !is_idempotent())
    {
        // The upstream may have run the request, but a caller would take this status from a router
        // as the guarantee that it has not run.
        answer(http::status::bad_gateway, "upstream_refused_after_start");
        return;
    }
    else
    {
        request_->respond(head_for_caller(*current.head), current.body);
    }
    if (core_.crashes.has_suspects() && !http::ends_with_connection(*current.head))
    {
        core_.crashes.record_completed(fingerprint(), core_.now());
    }
    finish("answered", current.head->result_int(), "");
}

http::response_head request_session::head_for_caller(const http::response_head& upstream_head) const
{
    auto head = http::make_response(upstream_head.result());
    head.result(upstream_head.result_int());
    for (const auto& field : upstream_head)
    {
        if (core_.protocol.passes_to_caller(view(field.name_string())))
        {
            head.insert(field.name_string(), field.value());
        }
    }
    return head;
}

void request_session::fail_unplaced(std::string_view reason)
{
    if (answer_begun_)
    {
        abort_answer(reason);
        return;
    }
    if (may_have_run_)
    {
        answer(http::status::bad_gateway, reason);
        return;
    }
    reject(reason);
}

void request_session::reject(std::string_view reason)
{
    const auto share = share_status();
    if (service_->engine)
    {
        core_.refused_requests.add(mark(), core_.now());
        core_.shares.record_refused(workspace_id_, share_tokens(), cause_of(reason, share),
                                    core_.now());
    }
    const auto delay = routing::retry_after(*route_, share.largest_used(), core_.random_unit()) +
                       rest_of_all_upstreams();
    const auto retry_after = std::min(delay, std::max(milliseconds(0), time_left() / 3));
    answer(http::status::service_unavailable, reason, retry_after);
}

void request_session::answer(http::status code, std::string_view reason,
                             std::optional<milliseconds> retry_after)
{
    auto head = http::make_response(code);
    head.set(http::field::content_type, "application/json");
    if (retry_after)
    {
        head.set(http::field::retry_after, decimal_seconds(*retry_after));
    }
    const nlohmann::json body{{"error", reason}};
    request_->respond(std::move(head), body.dump());
    finish("own_answer", static_cast<unsigned>(code), reason);
}

void request_session::abort_answer(std::string_view reason)
{
    request_->abort();
    finish("broken_off", 0, reason);
}

void request_session::finish(std::string_view outcome, unsigned status, std::string_view reason)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    core_.active_streams -= admitted_ ? 1 : 0;
    core_.timers.cancel(deadline_timer_);
    if (wait_id_)
    {
        core_.dequeue(*wait_id_);
        wait_id_.reset();
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
    if (last_placement_)
    {
        count_placement(*last_placement_);
    }
    if (core_.log.accepts_request_line())
    {
        log_end(outcome, status, reason);
    }
}

void request_session::count_placement(const routing::placement& placed)
{
    const metrics::labels where{{"service", service_->id.str()},
                                {"zone", placed.target.zone.str()}};
    if (placed.zone != routing::zone_choice::own_zone)
    {
        auto labels = where;
        labels.push_back({"reason", routing::name(placed.zone)});
        core_.metrics
            .counter({.name = "caraway_requests_to_other_zone_total",
                      .help = "Requests sent to an upstream in another zone, by its zone."},
                     labels)
            .add();
    }
    const auto lacked = placed.shared_tokens - placed.cached_tokens;
    if (lacked > 0)
    {
        auto labels = where;
        labels.push_back({"how", placed.cache_source ? "fetched" : "read"});
        core_.metrics
            .counter({.name = "caraway_shared_part_tokens_total",
                      .help = "Tokens of shared parts that the chosen engine was assumed to lack."},
                     labels)
            .add(lacked);
    }
}

void request_session::log_end(std::string_view outcome, unsigned status, std::string_view reason)
{
    const auto now = core_.now();
    nlohmann::ordered_json line{{"request", metadata_.id.str()},
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
        line["workspace"] = workspace_id_.str();
        line["version"] = static_cast<std::uint64_t>(table_->accepted().version);
        line["sent"] = attempts_sent_;
        line["returned"] = is_resubmission_;
        const auto share = share_status();
        line["fill"] = round_to_hundredths(share.share_used);
        line["ahead"] = round_to_hundredths(share.excess_ratio);
    }
    if (!tried_.empty())
    {
        line["upstream"] = tried_.back().str();
    }
    if (metadata_.resumed_attempt)
    {
        line["resumes"] = metadata_.resumed_attempt->str();
    }
    if (stream_software_)
    {
        line["stream_software"] = stream_software_->str();
    }
    if (metadata_.resume_after)
    {
        line["after_event"] = *metadata_.resume_after;
    }
    if (found_no_place(reason))
    {
        line["held_by"] = has_place_within_share() ? "share" : "engines";
    }
    if (service_ != nullptr && service_->engine)
    {
        line["prompt"] = metadata_.prompt_tokens;
        line["output"] = expected_output_tokens();
        line["patience_ms"] = metadata_.caller_timeout.value_or(milliseconds(0)).count();
    }
    if (last_placement_)
    {
        line["software"] = last_placement_->target.software.str();
        line["placed_ms"] = to_milliseconds(last_sent_at_ - request_->arrived()).count();
        line["connect_ms"] = to_milliseconds(last_connect_time_).count();
        line["upstreams_age_ms"] = to_milliseconds(last_upstreams_age_).count();
        line["wait_ms"] = last_placement_->wait.count();
        line["unread"] = last_placement_->load.pending_prefill_tokens;
        line["running"] = last_placement_->running;
        if (last_placement_->zone != routing::zone_choice::own_zone)
        {
            line["zone_reason"] = routing::name(last_placement_->zone);
        }
        if (last_placement_->copy != routing::held_copy::no_parts)
        {
            line["copy"] = routing::name(last_placement_->copy);
            line["shared"] = last_placement_->shared_tokens;
            line["cached"] = last_placement_->cached_tokens;
        }
        if (last_placement_->cache_source)
        {
            line["fetched_from"] = last_placement_->cache_source->id.str();
        }
    }
    if (answer_begun_)
    {
        line["first_ms"] = to_milliseconds(first_event_time_ - request_->arrived()).count();
        line["pause_ms"] = to_milliseconds(longest_gap_).count();
    }
    core_.log.request_line("request", line);
}

}  // namespace caraway::router
