// A request's attempts at upstreams: sending, relaying what comes, and what follows from the end.
#include "libcaraway/router/request_session.hpp"

#include "libcaraway/http/server_connection.hpp"

#include <algorithm>

namespace caraway::router
{

namespace
{

using http::view;
using routing::attempt_end;
using routing::next_step;
using std::chrono::milliseconds;

/// Answers are held whole before they are passed on, so that one that breaks off can be asked for
/// again; larger ones would fill a small VM's memory.
constexpr std::size_t max_held_answer = 4U << 20U;

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

void request_session::send(routing::placement place)
{
    ticket_.reset();
    const auto now = core_.now();
    const auto id = place.where.id;
    core_.load_tracker.begin(id, place.load);
    if (service_->engine)
    {
        if (!counted_)
        {
            core_.shares.count_served(account_, tokens(), now);
            counted_ = true;
        }
        core_.placer.note_sent(id, facts_.parts, now);
    }
    core_.slow_start.note_sent(place.where, now);
    tried_.push_back(id);
    ++sent_;
    attempt_ = std::make_shared<attempt>();
    sent_by_ = place;
    sent_at_ = now;
    attempt_->place = std::move(place);
    core_.track_in_flight(id, *this);
    attempt_->sent = now;
    attempt_->connection = core_.pool.take(id);
    forward_options terms{.instance = id,
                          .time_left = time_left(),
                          .workspace = workspace_ ? std::optional(workspace_->id) : std::nullopt,
                          .resume_after = begun_ ? last_event_ : std::nullopt};
    const auto& source = attempt_->place.source;
    if (source)
    {
        terms.fetch_from = source->address;
    }
    auto message = core_.protocol.forward(request_->head(), request_->body(), terms);
    attempt_->connection->call(attempt_->place.where.address, std::move(message),
                               request_->head().method() == http::verb::head, events_of(attempt_),
                               [this](const http::response_head& head)
                               {
                                   const auto facts = core_.protocol.parse_answer(head);
                                   return !facts.request || *facts.request == facts_.id;
                               });
    attempt_->last_sign = now;
    watch_silence(*attempt_);
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
    of.facts = core_.protocol.parse_answer(head);
    const bool success = head.result_int() >= 200 && head.result_int() < 300;
    of.streams = success && of.facts.verified && route_->streaming &&
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
    of.last_sign = core_.now();
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
        core_.load_tracker.prompt_read(of.place.where.id, of.place.load.unread_tokens);
        core_.prefill_pace.note(of.place.where.id, of.place.ahead,
                                static_cast<std::uint32_t>(of.place.load.unread_tokens),
                                core_.now() - of.sent, core_.now());
        of.place.load.unread_tokens = 0;
    }
    begin_answer(of);
    note_pause();
    ++core_.chunks_relayed;
    request_->write(ready);
}

void request_session::note_pause()
{
    const auto now = core_.now();
    if (last_piece_ != base::time_point{})
    {
        longest_pause_ = std::max(longest_pause_, now - last_piece_);
    }
    last_piece_ = now;
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
    else if (!of.facts.verified || encoded)
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

void request_session::on_failed(attempt& of, http::call_failure why)
{
    if (why == http::call_failure::not_connected)
    {
        core_.record_unreachable(of.place.where.id);
    }
    else
    {
        core_.record_lost_connection(of.place.where.id, fingerprint());
    }
    attempt_ended(end_of(why));
}

/// A connection to a process that is gone may stay silent for good. Clocks of VMs differ and jump,
/// so what was sent about when the new process started is left to its connection; so is what still
/// shows signs of life.
void request_session::on_upstream_restarted(base::duration alive_for)
{
    constexpr std::chrono::seconds clocks_differ{1};
    const auto now = core_.now();
    const bool of_life_before = attempt_ && now - attempt_->sent > alive_for + clocks_differ;
    if (ended_ || !of_life_before || now - attempt_->last_sign < clocks_differ)
    {
        return;
    }
    const auto keep = shared_from_this();
    const auto of = attempt_;
    on_failed(*of, of->head ? http::call_failure::cut_answer : http::call_failure::no_answer);
}

void request_session::attempt_ended(attempt_end how)
{
    const auto last = attempt_;
    if (last)
    {
        const auto& id = last->place.where.id;
        core_.record_attempt_result(id, service_->id, result_of(how));
        release_attempt();
        give_back_share(how);
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
                                 .time_left = last && time_left() > min_time_left};
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
        core_.log.request_line("attempt",
                               {{"request", facts_.id.str()},
                                {"upstream", last->place.where.id.str()},
                                {"end", routing::name(how)},
                                {"status", last->head ? last->head->result_int() : 0},
                                {"took_ms", to_milliseconds(core_.now() - last->sent).count()},
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
    core_.dispatch_waiting();
}

/// A share is what callers get. Upstreams that crash take a flooding workspace's requests with
/// them, some ten thousand tokens each; counted as served, they kept that workspace from places for
/// the window of shares while others got three times as much.
void request_session::give_back_share(attempt_end how)
{
    const bool had_service = how == attempt_end::answered || how == attempt_end::upstream_error;
    if (!counted_ || had_service)
    {
        return;
    }
    counted_ = false;
    core_.shares.count_lost(account_, tokens(), core_.now());
}

void request_session::release_attempt()
{
    if (!attempt_)
    {
        return;
    }
    const auto last = std::move(attempt_);
    attempt_.reset();
    core_.timers.cancel(last->silence_timer);
    core_.untrack_in_flight(last->place.where.id, *this);
    core_.load_tracker.end(last->place.where.id, last->place.load);
    // A call that ended well has given its connection back; any other may still bring bytes.
    if (last->connection)
    {
        last->connection->close();
    }
}

bool request_session::is_idempotent() const
{
    return route_->idempotent || route_->resumable;
}

}  // namespace caraway::router
