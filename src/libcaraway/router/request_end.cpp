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
    if (reason == router_busy)
    {
        return routing::refusal_cause::processor;
    }
    return found_no_place(reason) && !share.is_beyond() ? routing::refusal_cause::engines
                                                        : routing::refusal_cause::other;
}

}  // namespace

void request_session::deliver(attempt& current)
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
        request_->respond(head_for_caller(*current.head), std::move(current.body),
                          std::move(current.held));
    }
    if (core_.crashes.has_suspects() && !http::ends_with_connection(*current.head))
    {
        core_.crashes.record_completed(fingerprint(), core_.now());
    }
    finish("answered", current.head->result_int(), "");
}

http::response_head request_session::head_for_caller(const http::answer_head& upstream_head) const
{
    auto head = http::make_response(upstream_head.result());
    head.result(upstream_head.result_int());
    for (const auto& field : upstream_head)
    {
        if (core_.protocol.passes_to_caller(view(field.name_string())))
        {
            const auto name = field.name_string();
            const auto value = field.value();
            head.insert(boost::beast::string_view(name.data(), name.size()),
                        boost::beast::string_view(value.data(), value.size()));
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
    if (admitted_)
    {
        --core_.active_streams;
        core_.parts.record_ended(workspace_id_);
    }
    core_.timers.cancel(deadline_timer_);
    if (wait_id_)
    {
        core_.dequeue(*wait_id_);
        wait_id_.reset();
    }
    core_.request_metrics.record_end(outcome, status, reason, core_.now() - request_->arrived());
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
    telemetry::line_fields line;
    line.add("request", metadata_.id.str());
    line.add("outcome", outcome);
    line.add("status", status);
    line.add("took_ms", to_milliseconds(now - request_->arrived()).count());
    if (!reason.empty())
    {
        line.add("reason", reason);
    }
    if (route_ != nullptr)
    {
        line.add("route", route_->name);
        line.add("workspace", workspace_id_.str());
        line.add("version", static_cast<std::uint64_t>(table_->accepted().version));
        line.add("sent", attempts_sent_);
        line.add("returned", is_resubmission_);
        const auto share = share_status();
        line.add("fill", round_to_hundredths(share.share_used));
        line.add("may_begin", may_begin_);
    }
    if (!tried_.empty())
    {
        line.add("upstream", tried_.back().str());
    }
    if (metadata_.resumed_attempt)
    {
        line.add("resumes", metadata_.resumed_attempt->str());
    }
    if (stream_software_)
    {
        line.add("stream_software", stream_software_->str());
    }
    if (!origin_source_.empty())
    {
        line.add("origin", origin_source_);
    }
    if (metadata_.resume_after)
    {
        line.add("after_event", *metadata_.resume_after);
    }
    if (found_no_place(reason))
    {
        line.add("held_by", has_place_within_share() ? "share" : "engines");
    }
    if (service_ != nullptr && service_->engine)
    {
        line.add("prompt", metadata_.prompt_tokens);
        line.add("output", expected_output_tokens());
        line.add("patience_ms", metadata_.caller_timeout.value_or(milliseconds(0)).count());
    }
    if (last_placement_)
    {
        line.add("software", last_placement_->target.software.str());
        line.add("placed_ms", to_milliseconds(last_sent_at_ - request_->arrived()).count());
        line.add("connect_ms", to_milliseconds(last_connect_time_).count());
        line.add("upstreams_age_ms", to_milliseconds(last_upstreams_age_).count());
        line.add("wait_ms", last_placement_->wait.count());
        line.add("unread", last_placement_->load.pending_prefill_tokens);
        line.add("running", last_placement_->running);
        if (last_placement_->zone != routing::zone_choice::own_zone)
        {
            line.add("zone_reason", routing::name(last_placement_->zone));
        }
        if (last_placement_->copy != routing::held_copy::no_parts)
        {
            line.add("copy", routing::name(last_placement_->copy));
            line.add("shared", last_placement_->shared_tokens);
            line.add("cached", last_placement_->cached_tokens);
        }
        if (last_placement_->cache_source)
        {
            line.add("fetched_from", last_placement_->cache_source->id.str());
        }
    }
    if (answer_begun_)
    {
        line.add("first_ms", to_milliseconds(first_event_time_ - request_->arrived()).count());
        line.add("pause_ms", to_milliseconds(longest_gap_).count());
    }
    core_.log.request_line("request", line);
}

}  // namespace caraway::router
