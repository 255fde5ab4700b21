#include "libcaraway/router/request_session.hpp"

#include "libcaraway/http/server_connection.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::router
{

namespace
{

using routing::attempt_end;
using routing::next_step;
using std::chrono::milliseconds;

/// With less time left no upstream can do anything for the caller.
constexpr milliseconds least_time{25};
/// Part of the greatest possible output that is expected where the caller gives no hint.
constexpr double usual_output = 0.6;
/// Answers are held whole before they are passed on, so that one that breaks off can be asked for
/// again; larger ones would fill a small VM's memory.
constexpr std::size_t max_held_answer = 4U << 20U;

milliseconds milliseconds_of(base::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

std::string decimal_seconds(milliseconds span)
{
    const auto text = std::to_string(span.count() % 1000 + 1000).substr(1);
    return std::to_string(span.count() / 1000) + "." + text;
}

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Enough to see why a request was refused, and short.
double hundredths(double value)
{
    return std::round(value * 100) / 100;
}

/// Statuses by which a router tells its caller that the request has not run and never will.
bool promises_no_run(unsigned code)
{
    return code == 408 || code == 421 || code == 429 || code == 503;
}

attempt_end end_of(http::call_failure why)
{
    switch (why)
    {
    case http::call_failure::not_connected:
        return attempt_end::unreachable;
    case http::call_failure::no_answer:
        return attempt_end::unknown;
    case http::call_failure::cut_answer:
        return attempt_end::broken;
    }
    return attempt_end::unknown;
}

scheduling::attempt_result result_of(attempt_end how)
{
    switch (how)
    {
    case attempt_end::answered:
        return scheduling::attempt_result::done;
    case attempt_end::refused:
        return scheduling::attempt_result::overloaded;
    case attempt_end::other_instance:
        return scheduling::attempt_result::refused;
    case attempt_end::unreachable:
        return scheduling::attempt_result::unreachable;
    case attempt_end::upstream_error:
    case attempt_end::unknown:
    case attempt_end::broken:
        return scheduling::attempt_result::failed;
    }
    return scheduling::attempt_result::failed;
}

}  // namespace

request_session::request_session(core& shared, std::shared_ptr<http::exchange> request)
    : core_(shared), request_(std::move(request))
{
}

void request_session::start()
{
    auto facts = core_.protocol.understand(request_->head());
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
    if (core_.refuse_from && core_.now() >= *core_.refuse_from)
    {
        answer(http::status::service_unavailable, "stopping", milliseconds(0));
        return;
    }
    count_arrival();
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
    const auto& name = routing::route_table::pick_service(*route_, core_.draw());
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
    if (service_->engine)
    {
        core_.shares.count_asked(account_, tokens(), core_.now());
    }
}

void request_session::look_for_place()
{
    if (try_place())
    {
        return;
    }
    const auto now = core_.now();
    const auto terms = routing::admit(*route_, standing(), {});
    const auto until =
        std::min((sent_ > 0 ? now : request_->arrived()) + terms.hold, deadline_ - least_time);
    const bool full = core_.line.size() >= routing::admission_options{}.longest_line;
    if (full || until <= now)
    {
        no_place(core_.directory.usable(service_->id).empty() ? "no_upstream" : "no_place");
        return;
    }
    const auto priority = workspace_ && workspace_->priority ? *workspace_->priority : 0;
    ticket_ = core_.wait(shared_from_this(), {.workspace = account_,
                                              .service = service_->id,
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
    const auto terms = routing::admit(*route_, standing(), {});
    auto place = core_.placer.choose({.of = service_,
                                      .prompt_tokens = facts_.prompt_tokens,
                                      .output_tokens = expected_output(),
                                      .parts = &facts_.parts,
                                      .tried = tried_,
                                      .longest_wait = terms.longest_wait,
                                      .slot_share = terms.slot_share,
                                      .most_repeated = terms.most_repeated},
                                     core_.directory, core_.board, core_.health, core_.now());
    if (!place)
    {
        return false;
    }
    send(std::move(*place));
    return true;
}

void request_session::on_waited_too_long()
{
    ticket_.reset();
    no_place("waited");
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

void request_session::send(routing::placement place)
{
    ticket_.reset();
    const auto now = core_.now();
    const auto id = place.where.id;
    core_.board.begin(id, place.load);
    if (service_->engine)
    {
        if (!counted_)
        {
            core_.shares.count_served(account_, tokens(), now);
            counted_ = true;
        }
        core_.placer.note_sent(id, facts_.parts, now);
    }
    tried_.push_back(id);
    ++sent_;
    attempt_ = std::make_shared<attempt>();
    attempt_->place = std::move(place);
    attempt_->sent = now;
    attempt_->connection = core_.pool.take(id);
    const forward_terms terms{.instance = id,
                              .time_left = time_left(),
                              .workspace =
                                  workspace_ ? std::optional(workspace_->id) : std::nullopt,
                              .resume_after = begun_ ? last_event_ : std::nullopt};
    auto message = core_.protocol.forward(request_->head(), request_->body(), terms);
    attempt_->connection->call(attempt_->place.where.address, std::move(message),
                               request_->head().method() == http::verb::head, events_of(attempt_),
                               [this](const http::response_head& head)
                               {
                                   const auto facts = core_.protocol.read_answer(head);
                                   return !facts.request || *facts.request == facts_.id;
                               });
}

http::call_events request_session::events_of(const std::shared_ptr<attempt>& of)
{
    const auto self = shared_from_this();
    return {.head = [self, of](const http::response_head& head) { self->on_head(*of, head); },
            .body = [self, of](std::string_view part) { self->on_body(*of, part); },
            .end = [self, of] { self->on_end(*of); },
            .failed =
                [self, of](http::call_failure why)
            {
                self->on_failed(*of, why);
            }};
}

void request_session::on_head(attempt& of, const http::response_head& head)
{
    of.head = head;
    of.facts = core_.protocol.read_answer(head);
    const bool success = head.result_int() >= 200 && head.result_int() < 300;
    of.streams = success && of.facts.genuine && route_->streaming &&
                 view(head[http::field::content_type]).starts_with("text/event-stream");
}

void request_session::on_body(attempt& of, std::string_view part)
{
    if (of.streams)
    {
        of.events.add(part);
        relay_events(of);
        return;
    }
    if (of.body.size() + part.size() <= max_held_answer)
    {
        of.body += part;
        return;
    }
    attempt_ended(attempt_end::broken);
}

void request_session::relay_events(attempt& of)
{
    std::string ready;
    while (const auto event = of.events.next())
    {
        // What the caller has is not sent again by the upstream that goes on.
        const bool repeated = event->id && last_event_ && *event->id <= *last_event_;
        if (repeated)
        {
            continue;
        }
        if (event->id)
        {
            last_event_ = event->id;
        }
        ready += event->text;
    }
    if (ready.empty())
    {
        return;
    }
    if (!of.prompt_read)
    {
        of.prompt_read = true;
        core_.board.prompt_read(of.place.where.id, of.place.load.unread_tokens);
        of.place.load.unread_tokens = 0;
    }
    begin_answer(of);
    request_->write(ready);
}

void request_session::begin_answer(const attempt& of)
{
    if (begun_)
    {
        return;
    }
    begun_ = true;
    first_piece_ = core_.now();
    request_->begin(head_for_caller(*of.head));
}

void request_session::on_end(attempt& of)
{
    core_.pool.give_back(of.place.where.id, std::move(of.connection));
    const auto code = of.head->result_int();
    const bool encoded = of.head->find(http::field::content_encoding) != of.head->end();
    if (code == 421 && (of.facts.other_instance || of.facts.not_run))
    {
        attempt_ended(attempt_end::other_instance);
    }
    else if (of.facts.not_run)
    {
        attempt_ended(attempt_end::refused);
    }
    else if (!of.facts.genuine || encoded)
    {
        attempt_ended(attempt_end::unknown);
    }
    else if (code >= 500)
    {
        attempt_ended(attempt_end::upstream_error);
    }
    else if (of.streams && of.events.has_rest())
    {
        attempt_ended(attempt_end::broken);
    }
    else
    {
        attempt_ended(attempt_end::answered);
    }
}

void request_session::on_failed(attempt&, http::call_failure why)
{
    attempt_ended(end_of(why));
}

void request_session::attempt_ended(attempt_end how)
{
    const auto last = attempt_;
    if (last)
    {
        const auto& id = last->place.where.id;
        core_.note_attempt(id, service_->id, result_of(how));
        release_attempt();
        if (how == attempt_end::other_instance)
        {
            core_.directory.forget(id);
            core_.pool.close_all(id);
        }
    }
    if (how == attempt_end::unreachable && last)
    {
        --sent_;
        ++unreachable_;
    }
    const bool possible = how == attempt_end::unknown || how == attempt_end::broken ||
                          how == attempt_end::upstream_error;
    may_have_run_ = may_have_run_ || possible;
    routing::attempt_state state{.idempotent = is_idempotent(),
                                 .resumable = route_->resumable,
                                 .partly_delivered = begun_,
                                 .sent = sent_,
                                 .max_sent = route_->max_attempts,
                                 .unreachable = unreachable_,
                                 .may_have_run = may_have_run_,
                                 .time_left = last && time_left() > least_time};
    auto step = routing::decide(how, state);
    const bool repeats = step == next_step::try_again || step == next_step::resume;
    if (repeats && how != attempt_end::unreachable &&
        !core_.retries.take_repeat(service_->id, core_.now()))
    {
        state.max_sent = state.sent;
        step = routing::decide(how, state);
    }
    if (how != attempt_end::answered && last)
    {
        core_.log.line("attempt", {{"request", facts_.id.str()},
                                   {"upstream", last->place.where.id.str()},
                                   {"end", routing::name(how)},
                                   {"status", last->head ? last->head->result_int() : 0},
                                   {"took_ms", milliseconds_of(core_.now() - last->sent).count()},
                                   {"next", routing::name(step)}});
    }
    switch (step)
    {
    case next_step::deliver:
        deliver(*last);
        break;
    case next_step::try_again:
    case next_step::resume:
        look_for_place();
        break;
    case next_step::refuse:
        refuse(routing::name(how));
        break;
    case next_step::give_up:
        answer(http::status::bad_gateway, routing::name(how));
        break;
    case next_step::break_off:
        break_off(routing::name(how));
        break;
    }
    core_.pump();
}

void request_session::release_attempt()
{
    if (!attempt_)
    {
        return;
    }
    const auto last = std::move(attempt_);
    attempt_.reset();
    core_.board.end(last->place.where.id, last->place.load);
    // A call that ended well has given its connection back; any other may still bring bytes.
    if (last->connection)
    {
        last->connection->close();
    }
}

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
    end("answered", of.head->result_int(), "");
}

void request_session::refuse(std::string_view reason)
{
    const auto come_back = std::min(routing::retry_after(*route_, fill(), core_.draw()),
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
    core_.timers.cancel(deadline_timer_);
    if (ticket_)
    {
        core_.stop_waiting(*ticket_);
        ticket_.reset();
    }
    const auto now = core_.now();
    nlohmann::ordered_json line{{"request", facts_.id.str()},
                                {"outcome", outcome},
                                {"status", status},
                                {"took_ms", milliseconds_of(now - request_->arrived()).count()}};
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
        const auto of = standing();
        line["fill"] = hundredths(of.fill);
        line["ahead"] = hundredths(of.ahead);
    }
    if (!tried_.empty())
    {
        line["upstream"] = tried_.back().str();
    }
    if (begun_)
    {
        line["first_ms"] = milliseconds_of(first_piece_ - request_->arrived()).count();
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
        .observe(now - request_->arrived());
    core_.log.line("request", std::move(line));
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
            core_.note_attempt(attempt_->place.where.id, service_->id,
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
    core_.pump();
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
    core_.pump();
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

bool request_session::is_idempotent() const
{
    return route_->idempotent || route_->resumable;
}

double request_session::fill() const
{
    return standing().fill;
}

routing::standing request_session::standing() const
{
    // Shares are of engines; plain services are far from full.
    if (service_ == nullptr || !service_->engine)
    {
        return {};
    }
    const auto now = core_.now();
    return {.fill = core_.shares.fill(account_, now), .ahead = core_.shares.ahead(account_, now)};
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

milliseconds request_session::time_left() const
{
    return milliseconds_of(deadline_ - core_.now());
}

}  // namespace caraway::router
