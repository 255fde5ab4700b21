#include "libcaraway/router/request_session.hpp"

#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>

namespace caraway::router
{

namespace
{

using http::view;
using std::chrono::milliseconds;

constexpr std::string_view upstreams_resting = "upstreams_resting";

/// Expected output as a fraction of the maximum, for callers that give no hint.
constexpr double default_output_ratio = 0.6;

}  // namespace

request_session::request_session(core& shared, std::shared_ptr<http::exchange> request)
    : core_(shared), request_(std::move(request))
{
}

void request_session::start()
{
    auto metadata = core_.protocol.parse_request(request_->head());
    if (!metadata)
    {
        answer(http::status::bad_request, metadata.error().message);
        return;
    }
    metadata_ = std::move(metadata.value());
    table_ = core_.table();
    if (!table_)
    {
        answer(http::status::service_unavailable, "no_configuration", milliseconds(300));
        return;
    }
    if (!find_route() || !find_workspace())
    {
        return;
    }
    request_->on_disconnect([self = shared_from_this()] { self->on_caller_left(); });
    const auto timeout =
        std::min(metadata_.caller_timeout.value_or(route_->timeout), route_->timeout);
    deadline_ = request_->arrived() + timeout;
    if (core_.reject_from && core_.now() >= *core_.reject_from)
    {
        answer(http::status::service_unavailable, "stopping", milliseconds(0));
        return;
    }
    if (resumes_stream())
    {
        find_stream_origin();
    }
    else if (find_service(routing::route_table::pick_service(*route_, core_.random_unit())))
    {
        accept();
    }
}

void request_session::accept()
{
    count_arrival();
    if (!admit())
    {
        return;
    }
    deadline_timer_ = core_.timers.at(deadline_,
                                      [weak = weak_from_this()]
                                      {
                                          if (const auto self = weak.lock())
                                          {
                                              self->on_deadline();
                                          }
                                      });
    place_or_enqueue();
}

bool request_session::find_route()
{
    const auto& head = request_->head();
    route_ = table_->find_route(view(head[http::field::host]), view(head.target()));
    if (route_ == nullptr || route_->services.empty())
    {
        answer(http::status::not_found, "no_route");
        return false;
    }
    return true;
}

bool request_session::find_service(const base::service_id& name)
{
    service_ = table_->find_service(name);
    if (service_ == nullptr)
    {
        answer(http::status::service_unavailable, "no_service", milliseconds(500));
        return false;
    }
    return true;
}

bool request_session::find_workspace()
{
    if (!metadata_.key.empty())
    {
        workspace_ = table_->find_workspace(metadata_.key);
    }
    if (workspace_ != nullptr)
    {
        workspace_id_ = workspace_->id;
    }
    if (workspace_ == nullptr && !route_->anonymous && !table_->accepted().workspaces.empty())
    {
        answer(http::status::unauthorized, metadata_.key.empty() ? "no_key" : "unknown_key");
        return false;
    }
    return true;
}

void request_session::place_or_enqueue()
{
    if (try_place())
    {
        return;
    }
    if (core_.directory.all_drained(service_->id))
    {
        fail_unplaced("zones_drained");
        return;
    }
    if (!has_upstream_for_stream())
    {
        fail_unplaced("no_upstream_of_version");
        return;
    }
    const auto now = core_.now();
    const auto terms = admission();
    const auto wait_deadline =
        std::min((attempts_sent_ > 0 ? now : request_->arrived()) + terms.max_queue_time,
                 deadline_ - min_time_left);
    const auto rest = rest_of_all_upstreams();
    if (rest.count() > 0 && now + rest > wait_deadline)
    {
        fail_unplaced(upstreams_resting);
        return;
    }
    const bool is_full = core_.wait_queue.size() >= routing::admission_options{}.max_queue_length;
    if (is_full || wait_deadline <= now)
    {
        fail_unplaced(unplaced_reason("no_place"));
        return;
    }
    const auto priority = workspace_ && workspace_->priority ? *workspace_->priority : 0;
    wait_id_ = core_.enqueue(shared_from_this(), {.workspace = workspace_id_,
                                                  .service = service_->id,
                                                  .resumes = stream_software_.has_value(),
                                                  .resubmitted = is_resubmission_,
                                                  .priority = priority * 1000 + route_->priority,
                                                  .arrived = request_->arrived(),
                                                  .expires = wait_deadline});
}

bool request_session::try_place()
{
    if (ended_ || attempt_)
    {
        return true;
    }
    // On a VM that stood still the deadline's timer may not have run yet.
    if (is_past_deadline())
    {
        on_deadline();
        return true;
    }
    if (refuse_if_crashing())
    {
        return true;
    }
    auto placement = find_placement();
    if (!placement)
    {
        return false;
    }
    send(std::move(*placement));
    return true;
}

std::optional<routing::placement> request_session::find_placement()
{
    if (!core_.receive_peer_updates())
    {
        return std::nullopt;
    }
    const auto terms = admission();
    return terms.blocked ? std::nullopt : find_placement(terms);
}

std::optional<routing::placement>
request_session::find_placement(const routing::admission_terms& terms)
{
    const auto now = core_.now();
    const auto skipped_before = core_.slow_start.skip_count();
    const routing::placement_request request{
        .requested_service = service_,
        .prompt_tokens = metadata_.prompt_tokens,
        .output_tokens = expected_output_tokens(),
        .parts = &metadata_.parts,
        .tried = tried_,
        .software = stream_software_,
        .max_wait = terms.longest_wait,
        .slot_share = terms.slot_share,
        .cold_upstreams = core_.slow_start.any_cold() ? &core_.slow_start : nullptr,
        .random_unit = core_.random_unit(),
        .max_repeated_tokens = terms.max_repeated_tokens};
    auto placement = core_.placer.choose(request, core_.directory, core_.load_tracker, core_.health,
                                         core_.engines, now);
    skipped_cold_upstream_ = !placement && core_.slow_start.skip_count() != skipped_before;
    return placement;
}

bool request_session::has_place_within_share()
{
    return find_placement(routing::admit(*route_, {}, {})).has_value();
}

void request_session::on_wait_expired()
{
    wait_id_.reset();
    fail_unplaced(unplaced_reason("waited"));
}

std::string_view request_session::unplaced_reason(std::string_view default_reason) const
{
    if (core_.directory.all_drained(service_->id))
    {
        return "zones_drained";
    }
    if (core_.directory.usable(service_->id).empty())
    {
        return "no_upstream";
    }
    if (rest_of_all_upstreams().count() > 0)
    {
        return upstreams_resting;
    }
    if (!core_.receive_peer_updates())
    {
        return "upstreams_unconfirmed";
    }
    return skipped_cold_upstream_ ? "upstreams_cold" : default_reason;
}

milliseconds request_session::rest_of_all_upstreams() const
{
    const auto now = core_.now();
    auto shortest = milliseconds::max();
    for (const auto* upstream : core_.directory.usable(service_->id))
    {
        const auto rest = core_.health.rest_left(upstream->id, now);
        if (rest.count() == 0)
        {
            return {};
        }
        shortest = std::min(shortest, rest);
    }
    return shortest == milliseconds::max() ? milliseconds(0) : shortest;
}

void request_session::end_with_process()
{
    if (ended_)
    {
        return;
    }
    const auto keep = shared_from_this();
    if (attempt_)
    {
        may_have_run_ = true;
        release_attempt();
    }
    fail_unplaced("stopping");
}

void request_session::on_deadline()
{
    if (ended_)
    {
        return;
    }
    const auto keep = shared_from_this();
    const bool was_sent = attempt_ != nullptr;
    if (was_sent)
    {
        // No response head before the deadline counts as a failure of the upstream.
        if (!attempt_->head)
        {
            core_.record_attempt_result(attempt_->placement.target.id, service_->id,
                                        scheduling::attempt_result::failed);
        }
        release_attempt();
    }
    if (answer_begun_)
    {
        abort_answer("deadline");
    }
    else if (was_sent || may_have_run_)
    {
        answer(http::status::gateway_timeout, "deadline");
    }
    else
    {
        reject("deadline");
    }
    core_.dispatch_waiting();
}

void request_session::on_caller_left()
{
    if (ended_)
    {
        return;
    }
    const auto keep = shared_from_this();
    release_attempt();
    finish("caller_left", 0, "");
    core_.dispatch_waiting();
}

routing::returns::request_fingerprint request_session::mark() const
{
    using scheduling::combine;
    using scheduling::stable_hash;
    auto hash =
        combine(stable_hash(workspace_id_.str()), stable_hash(view(request_->head().target())));
    hash = combine(hash, metadata_.prompt_tokens);
    hash =
        combine(hash, (std::uint64_t{metadata_.max_output_tokens} << 32U) | metadata_.output_hint);
    if (!metadata_.parts.empty())
    {
        hash = combine(hash, stable_hash(metadata_.parts.back().id));
    }
    return routing::returns::request_fingerprint{static_cast<std::uint32_t>(hash)};
}

routing::share_status request_session::share_status() const
{
    // Shares apply to engines only; plain services have ample capacity.
    if (service_ == nullptr || !service_->engine)
    {
        return {};
    }
    return core_.shares.status(
        workspace_id_, {.resubmitted = is_resubmission_, .admitted = may_begin_}, core_.now());
}

double request_session::share_tokens() const
{
    return metadata_.prompt_tokens + 2.0 * expected_output_tokens();
}

std::uint32_t request_session::expected_output_tokens() const
{
    if (metadata_.output_hint > 0)
    {
        return metadata_.output_hint;
    }
    return static_cast<std::uint32_t>(default_output_ratio * metadata_.max_output_tokens);
}

bool request_session::is_past_deadline() const
{
    return core_.now() >= deadline_;
}

milliseconds request_session::time_left() const
{
    return to_milliseconds(deadline_ - core_.now());
}

}  // namespace caraway::router
