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

/// Part of the greatest possible output that is expected where the caller gives no hint.
constexpr double usual_output = 0.6;

}  // namespace

request_session::request_session(core& shared, std::shared_ptr<http::exchange> request)
    : core_(shared), request_(std::move(request))
{
}

void request_session::start()
{
    auto facts = core_.protocol.parse_request(request_->head());
    if (!facts)
    {
        answer(http::status::bad_request, facts.error().message);
        return;
    }
    facts_ = std::move(facts.value());
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
    request_->on_gone([self = shared_from_this()] { self->on_gone(); });
    const auto patience = std::min(facts_.patience.value_or(route_->timeout), route_->timeout);
    deadline_ = request_->arrived() + patience;
    if (core_.reject_from && core_.now() >= *core_.reject_from)
    {
        answer(http::status::service_unavailable, "stopping", milliseconds(0));
        return;
    }
    count_arrival();
    if (!enter())
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
    look_for_place();
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
    const auto& name = routing::route_table::pick_service(*route_, core_.random_unit());
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
    if (!facts_.key.empty())
    {
        workspace_ = table_->find_workspace(facts_.key);
    }
    if (workspace_ != nullptr)
    {
        account_ = workspace_->id;
    }
    if (workspace_ == nullptr && !route_->anonymous && !table_->accepted().workspaces.empty())
    {
        answer(http::status::unauthorized, facts_.key.empty() ? "no_key" : "unknown_key");
        return false;
    }
    return true;
}

void request_session::count_arrival()
{
    core_.retries.count_request(service_->id, core_.now());
    if (!service_->engine)
    {
        return;
    }
    // Those that return count as asked again: the more are refused, the stricter the terms beyond
    // shares. Left out, engines took a fifth more than they could do on time (worth 0.02 lower on
    // three deployments, n 54).
    returned_ = core_.refused_requests.knows(mark(), core_.now());
    core_.shares.count_asked(account_, tokens(), core_.now());
}

bool request_session::enter()
{
    if (!service_->engine)
    {
        return true;
    }
    const auto output = static_cast<double>(expected_output());
    const routing::stream_effort effort{.tokens = facts_.prompt_tokens + output,
                                        .events = output /
                                                  std::max(1U, service_->engine->tokens_per_event)};
    if (!core_.overload.admits(effort, core_.active_streams, core_.random_unit()))
    {
        ++core_.overload_rejections;
        refuse("router_busy");
        return false;
    }
    // A busy router reads late: the caller's close may lie unread behind its request, and a request
    // must not reach an upstream for nobody.
    if (core_.overload.busy() && request_->caller_has_left())
    {
        request_->abort();
        end("caller_left", 0, "before_sending");
        return false;
    }
    ++core_.active_streams;
    admitted_ = true;
    return true;
}

void request_session::look_for_place()
{
    if (crashes_upstreams())
    {
        no_place("crashes_upstreams");
        return;
    }
    if (try_place())
    {
        return;
    }
    if (core_.directory.all_drained(service_->id))
    {
        no_place("zones_drained");
        return;
    }
    const auto now = core_.now();
    const auto terms = routing::admit(*route_, standing(), {});
    const auto until =
        std::min((sent_ > 0 ? now : request_->arrived()) + terms.hold, deadline_ - min_time_left);
    const bool full = core_.wait_queue.size() >= routing::admission_options{}.longest_line;
    if (full || until <= now)
    {
        no_place(reason_of_no_place("no_place"));
        return;
    }
    const auto priority = workspace_ && workspace_->priority ? *workspace_->priority : 0;
    ticket_ = core_.enqueue(shared_from_this(), {.workspace = account_,
                                                 .service = service_->id,
                                                 .returned = returned_,
                                                 .priority = priority * 1000 + route_->priority,
                                                 .arrived = request_->arrived(),
                                                 .until = until});
}

bool request_session::try_place()
{
    if (ended_ || attempt_)
    {
        return true;
    }
    auto place = find_place();
    if (!place)
    {
        return false;
    }
    send(std::move(*place));
    return true;
}

std::optional<routing::placement> request_session::find_place()
{
    core_.receive_peer_updates();
    const auto terms = routing::admit(*route_, standing(), {});
    if (terms.closed)
    {
        return std::nullopt;
    }
    const auto now = core_.now();
    const auto passed_over = core_.slow_start.passed_over();
    const routing::placement_request request{.of = service_,
                                             .prompt_tokens = facts_.prompt_tokens,
                                             .output_tokens = expected_output(),
                                             .parts = &facts_.parts,
                                             .tried = tried_,
                                             .longest_wait = terms.longest_wait,
                                             .slot_share = terms.slot_share,
                                             .cold = core_.slow_start.any() ? &core_.slow_start
                                                                            : nullptr,
                                             .draw = core_.random_unit(),
                                             .most_repeated = terms.most_repeated};
    auto found = core_.placer.choose(request, core_.directory, core_.load_tracker, core_.health,
                                     core_.prefill_pace, now);
    cold_passed_over_ = !found && core_.slow_start.passed_over() != passed_over;
    return found;
}

void request_session::on_waited_too_long()
{
    ticket_.reset();
    no_place(reason_of_no_place("waited"));
}

std::string_view request_session::reason_of_no_place(std::string_view usual) const
{
    if (core_.directory.all_drained(service_->id))
    {
        return "zones_drained";
    }
    if (core_.directory.usable(service_->id).empty())
    {
        return "no_upstream";
    }
    return cold_passed_over_ ? "upstreams_cold" : usual;
}

void request_session::on_deadline()
{
    if (ended_)
    {
        return;
    }
    const auto keep = shared_from_this();
    const bool sent = attempt_ != nullptr;
    if (sent)
    {
        // An upstream that says nothing until the time is over is not known to be well.
        if (!attempt_->head)
        {
            core_.record_attempt_result(attempt_->place.where.id, service_->id,
                                        scheduling::attempt_result::failed);
        }
        release_attempt();
    }
    if (begun_)
    {
        break_off("deadline");
    }
    else if (sent || may_have_run_)
    {
        answer(http::status::gateway_timeout, "deadline");
    }
    else
    {
        refuse("deadline");
    }
    core_.dispatch_waiting();
}

void request_session::on_gone()
{
    if (ended_)
    {
        return;
    }
    const auto keep = shared_from_this();
    release_attempt();
    end("caller_left", 0, "");
    core_.dispatch_waiting();
}

routing::request_mark request_session::mark() const
{
    using scheduling::combine;
    using scheduling::stable_hash;
    auto hash = combine(stable_hash(account_.str()), stable_hash(view(request_->head().target())));
    hash = combine(hash, facts_.prompt_tokens);
    hash = combine(hash, (std::uint64_t{facts_.max_output_tokens} << 32U) | facts_.output_hint);
    if (!facts_.parts.empty())
    {
        hash = combine(hash, stable_hash(facts_.parts.back().id));
    }
    return routing::request_mark{static_cast<std::uint32_t>(hash)};
}

routing::standing request_session::standing() const
{
    // Shares are of engines; plain services are far from full.
    if (service_ == nullptr || !service_->engine)
    {
        return {};
    }
    return core_.shares.of(account_, returned_, core_.now());
}

double request_session::tokens() const
{
    return facts_.prompt_tokens + 2.0 * expected_output();
}

std::uint32_t request_session::expected_output() const
{
    if (facts_.output_hint > 0)
    {
        return facts_.output_hint;
    }
    return static_cast<std::uint32_t>(usual_output * facts_.max_output_tokens);
}

attempts::request_fingerprint request_session::fingerprint()
{
    if (fingerprint_)
    {
        return *fingerprint_;
    }
    const auto body = scheduling::stable_hash(request_->body());
    const auto what = std::string(request_->head().method_string()) + ' ' +
                      std::string(request_->head().target()) + ' ' + std::to_string(body);
    fingerprint_ = attempts::fingerprint_of(account_, service_->id, what);
    return *fingerprint_;
}

bool request_session::crashes_upstreams()
{
    return core_.crashes.has_suspects() && core_.crashes.refuses(fingerprint(), core_.now());
}

milliseconds request_session::time_left() const
{
    return to_milliseconds(deadline_ - core_.now());
}

}  // namespace caraway::router
