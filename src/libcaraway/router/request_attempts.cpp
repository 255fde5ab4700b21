// A request's attempts at upstreams: sending the request, relaying the response, and deciding what
// follows when an attempt ends.
#include "libcaraway/router/request_session.hpp"

#include "libcaraway/http/read_scratch.hpp"
#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/routing/entry/relay_pace.hpp"

#include <algorithm>
#include <charconv>

namespace caraway::router
{

namespace
{

using http::view;
using routing::attempt_outcome;
using routing::next_step;
using std::chrono::milliseconds;

/// Answers that aren't streamed are buffered whole before they are passed on, so that a truncated
/// one can be retried. Larger ones would exhaust a small VM's memory.
constexpr std::size_t max_buffered_answer = 4U << 20U;
/// Bytes of one event of a stream. What goes on without the end of an event is no stream.
constexpr std::size_t max_event_bytes = 1U << 20U;

/// Length of the answer's body as its head states it, as far as it would be kept; 0 if it doesn't.
std::size_t stated_length(const http::answer_head& head)
{
    const auto text = view(head[http::field::content_length]);
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return std::min(length, max_buffered_answer);
}

/// Callers ask for no encoding, so such a body isn't the upstream's.
bool is_encoded(const http::answer_head& head)
{
    return head.find(http::field::content_encoding) != head.end();
}

attempt_outcome outcome_of(http::call_failure failure)
{
    switch (failure)
    {
    case http::call_failure::not_connected:
        return attempt_outcome::unreachable;
    case http::call_failure::withheld:
        return attempt_outcome::withheld;
    case http::call_failure::no_answer:
        return attempt_outcome::unknown;
    case http::call_failure::truncated_answer:
        return attempt_outcome::truncated;
    }
    return attempt_outcome::unknown;
}

scheduling::attempt_result health_result_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        return scheduling::attempt_result::done;
    case attempt_outcome::refused:
        return scheduling::attempt_result::overloaded;
    case attempt_outcome::other_instance:
        return scheduling::attempt_result::refused;
    case attempt_outcome::unreachable:
        return scheduling::attempt_result::unreachable;
    case attempt_outcome::withheld:
        return scheduling::attempt_result::refused;
    case attempt_outcome::upstream_error:
    case attempt_outcome::unknown:
    case attempt_outcome::truncated:
        return scheduling::attempt_result::failed;
    }
    return scheduling::attempt_result::failed;
}

}  // namespace

void request_session::send(routing::placement placement)
{
    wait_id_.reset();
    const auto now = core_.now();
    const auto id = placement.target.id;
    core_.load_tracker.record_start(id, placement.load);
    if (service_->engine)
    {
        if (!counted_as_served_)
        {
            core_.shares.record_served(workspace_id_, share_tokens(), now);
            counted_as_served_ = true;
        }
        core_.placer.record_sent(id, metadata_.parts, workspace_id_, now, placement.is_new_copy);
    }
    core_.slow_start.record_sent(placement.target, now);
    core_.health.record_sent(id, now);
    tried_.push_back(id);
    ++attempts_sent_;
    attempt_ = std::make_shared<attempt>();
    attempt_->held = http::memory_hold(core_.memory, http::held_for::answer);
    last_placement_ = placement;
    last_sent_at_ = now;
    last_connect_time_ = {};
    last_upstreams_age_ = core_.upstreams_age();
    attempt_->placement = std::move(placement);
    core_.track_in_flight(id, *this);
    attempt_->sent_at = now;
    attempt_->rest_left = core_.health.rest_left(id, now);
    core_.requests_during_rest += attempt_->rest_left.count() > 0 ? 1 : 0;
    attempt_->connection = core_.pool.acquire(id);
    forward_options forwarding{.instance = id,
                               .time_left = time_left(),
                               .workspace =
                                   workspace_ ? std::optional(workspace_->id) : std::nullopt,
                               .resume_after = answer_begun_ ? last_event_id_ : std::nullopt};
    const auto& source = attempt_->placement.cache_source;
    if (source)
    {
        forwarding.fetch_from = source->address;
    }
    auto message = core_.protocol.forward(request_->head(), request_->body().size(), forwarding);
    request_->set_owner_memory(message.capacity());
    attempt_->connection->call(
        attempt_->placement.target.address, std::move(message),
        request_->head().method() == http::verb::head, call_handlers(attempt_),
        [this](const http::answer_head& head)
        {
            const auto metadata = core_.protocol.parse_answer(head);
            return !metadata.request || *metadata.request == metadata_.id;
        },
        request_->shared_body());
    attempt_->last_activity = now;
    start_silence_timer(*attempt_);
}

http::call_events request_session::call_handlers(const std::shared_ptr<attempt>& current)
{
    const auto self = shared_from_this();
    return {.opened = [self, current] { return self->on_opened(*current); },
            .head = [self, current](const http::answer_head& head)
            { self->on_head(*current, head); },
            .body = [self, current](std::string_view part) { self->on_body(*current, part); },
            .end = [self, current] { self->on_end(*current); },
            .failed = [self, current](http::call_failure failure)
            { self->on_failed(*current, failure); },
            .may_read =
                [self, current]
            {
                return self->may_read(*current);
            }};
}

bool request_session::on_opened(attempt& current)
{
    const bool is_current = core_.receive_peer_updates();
    last_connect_time_ = core_.now() - current.sent_at;
    last_upstreams_age_ = core_.upstreams_age();
    const bool is_usable = core_.directory.is_usable(current.placement.target.id);
    const bool is_refused = refused_until().has_value();
    if (!is_current || !is_usable || is_refused || is_past_deadline())
    {
        ++core_.requests_withheld;
        return false;
    }
    return true;
}

void request_session::on_head(attempt& current, const http::answer_head& head)
{
    current.head = head;
    current.metadata = core_.protocol.parse_answer(head);
    if (const auto rest = current.metadata.requested_rest)
    {
        core_.record_rest(current.placement.target.id, *rest);
    }
    if (current.metadata.leaving)
    {
        core_.record_leaving(current.placement.target.id);
    }
    const bool success = head.result_int() >= 200 && head.result_int() < 300;
    current.is_stream = success && current.metadata.verified && route_->streaming &&
                        !is_encoded(head) &&
                        view(head[http::field::content_type]).starts_with("text/event-stream");
    // One copy here and one at the connection.
    current.expected_bytes = 2 * head.memory();
    if (!current.is_stream)
    {
        current.answer_begun = core_.now();
        current.expected_bytes += stated_length(head);
    }
}

bool request_session::may_read(attempt& current)
{
    const bool was_held_back = current.held_back;
    current.held_back = attempt_.get() == &current && !has_room_for(current);
    if (current.held_back && !was_held_back)
    {
        ++core_.memory->counts.waits;
    }
    if (was_held_back)
    {
        current.last_activity = core_.now();
    }
    return !current.held_back;
}

bool request_session::has_room_for(attempt& current)
{
    if (!current.head)
    {
        return true;
    }
    if (current.is_stream)
    {
        return request_->has_room() &&
               current.held.try_set(current.expected_bytes + 2 * current.events.partial_bytes());
    }
    const auto kept = std::max(current.body.size() + http::max_read_bytes, current.body.capacity());
    return current.held.try_set(std::max(current.expected_bytes, kept));
}

void request_session::on_body(attempt& current, std::string_view part)
{
    if (current.is_stream)
    {
        current.events.add(part);
        relay_events(current);
        if (attempt_.get() == &current && current.events.partial_bytes() > max_event_bytes)
        {
            on_attempt_ended(attempt_outcome::truncated);
        }
        return;
    }
    if (current.body.size() + part.size() <= max_buffered_answer)
    {
        if (current.body.empty())
        {
            // A body that grows takes twice its length.
            current.body.reserve(stated_length(*current.head));
        }
        current.body += part;
        current.held.set(std::max(current.held.bytes(), current.body.capacity()));
        return;
    }
    on_attempt_ended(attempt_outcome::truncated);
}

void request_session::relay_events(attempt& current)
{
    current.last_activity = core_.now();
    std::string new_events;
    while (const auto event = current.events.next())
    {
        current.answer_begun = current.answer_begun.value_or(current.last_activity);
        record_arrival(current);
        // After a resume, events that the caller already has are skipped.
        const bool repeated = event->id && last_event_id_ && *event->id <= *last_event_id_;
        if (repeated)
        {
            continue;
        }
        if (event->id)
        {
            last_event_id_ = event->id;
        }
        new_events += event->text;
    }
    record_sound_answer(current, false);
    if (new_events.empty())
    {
        return;
    }
    if (!current.prefilled)
    {
        current.prefilled = true;
        core_.load_tracker.record_prefill_done(current.placement.target.id,
                                               current.placement.load.pending_prefill_tokens);
        core_.engines.prefill.record_prefill(
            current.placement.target.id, current.placement.queued_tokens,
            static_cast<std::uint32_t>(current.placement.load.pending_prefill_tokens),
            core_.now() - current.sent_at, core_.now());
        current.placement.load.pending_prefill_tokens = 0;
    }
    begin_answer(current);
    record_event_gap();
    ++core_.chunks_relayed;
    request_->write(new_events);
    current.connection->pause_reading(
        routing::entry::pause_after_events(core_.overload.overloaded(), route_->gap_target));
}

void request_session::record_arrival(attempt& current)
{
    if (current.events_arrived > 0)
    {
        current.longest_pause =
            std::max(current.longest_pause, current.last_activity - current.last_event);
    }
    ++current.events_arrived;
    current.last_event = current.last_activity;
}

void request_session::record_event_gap()
{
    const auto now = core_.now();
    if (last_event_time_ != base::time_point{})
    {
        longest_gap_ = std::max(longest_gap_, now - last_event_time_);
    }
    last_event_time_ = now;
}

void request_session::begin_answer(const attempt& current)
{
    if (answer_begun_)
    {
        return;
    }
    answer_begun_ = true;
    first_event_time_ = core_.now();
    if (route_->resumable)
    {
        record_stream_origin(current);
    }
    request_->begin(head_for_caller(*current.head));
}

void request_session::on_end(attempt& current)
{
    core_.pool.release(current.placement.target.id, std::move(current.connection));
    const auto code = current.head->result_int();
    if (code == 421 && (current.metadata.other_instance || current.metadata.not_run))
    {
        on_attempt_ended(attempt_outcome::other_instance);
    }
    else if (current.metadata.not_run)
    {
        on_attempt_ended(attempt_outcome::refused);
    }
    else if (!current.metadata.verified || is_encoded(*current.head))
    {
        on_attempt_ended(attempt_outcome::unknown);
    }
    else if (code >= 500)
    {
        on_attempt_ended(attempt_outcome::upstream_error);
    }
    else if (answer_begun_ && !current.is_stream)
    {
        // The caller has the beginning of a stream, which no other answer can end.
        on_attempt_ended(attempt_outcome::truncated);
    }
    else if (!is_whole(current))
    {
        record_lost_connection(current);
        on_attempt_ended(attempt_outcome::truncated);
    }
    else
    {
        record_sound_answer(current, true);
        on_attempt_ended(attempt_outcome::answered);
    }
}

void request_session::on_failed(attempt& current, http::call_failure failure)
{
    const bool was_sent =
        failure == http::call_failure::no_answer || failure == http::call_failure::truncated_answer;
    if (current.connection->was_refused())
    {
        core_.record_refused_connection(current.placement.target);
    }
    else if (was_sent)
    {
        current.connection_lost = true;
        record_lost_connection(current);
    }
    on_attempt_ended(outcome_of(failure));
}

void request_session::on_attempt_ended(attempt_outcome outcome)
{
    const auto last = attempt_;
    if (last)
    {
        const auto& id = last->placement.target.id;
        core_.engines.record_attempt(summary_of(*last, outcome), core_.now());
        core_.record_attempt_result(id, service_->id, health_result_of(outcome));
        release_attempt();
        refund_share(outcome);
        if (outcome == attempt_outcome::other_instance)
        {
            core_.directory.discard(id);
            core_.pool.close_all(id);
        }
    }
    const bool unsent =
        outcome == attempt_outcome::unreachable || outcome == attempt_outcome::withheld;
    if (unsent && last)
    {
        --attempts_sent_;
        ++unsent_attempts_;
    }
    const bool attempt_may_have_run = outcome == attempt_outcome::unknown ||
                                      outcome == attempt_outcome::truncated ||
                                      outcome == attempt_outcome::upstream_error;
    may_have_run_ = may_have_run_ || attempt_may_have_run;
    routing::attempt_state state{.idempotent = is_idempotent(),
                                 .resumable = route_->resumable,
                                 .partly_delivered = answer_begun_,
                                 .sent = attempts_sent_,
                                 .max_sent = route_->max_attempts,
                                 .unsent = unsent_attempts_,
                                 .may_have_run = may_have_run_,
                                 .has_time_left = last && time_left() > min_time_left};
    auto step = routing::decide(outcome, state);
    const bool is_retry = step == next_step::retry || step == next_step::resume;
    if (is_retry && !unsent && !core_.retries.take_retry(service_->id, core_.now()))
    {
        state.max_sent = state.sent;
        step = routing::decide(outcome, state);
    }
    if (outcome != attempt_outcome::answered && last)
    {
        log_attempt(*last, outcome, step);
    }
    switch (step)
    {
    case next_step::deliver:
        deliver(*last);
        break;
    case next_step::retry:
    case next_step::resume:
        place_or_enqueue();
        break;
    case next_step::refuse:
        reject(routing::name(outcome));
        break;
    case next_step::give_up:
        answer(http::status::bad_gateway, routing::name(outcome));
        break;
    case next_step::abort_answer:
        abort_answer(routing::name(outcome));
        break;
    }
    core_.dispatch_waiting();
}

routing::attempt_summary request_session::summary_of(const attempt& ended,
                                                     attempt_outcome outcome) const
{
    routing::attempt_summary summary{.upstream = ended.placement.target.id,
                                     .service = service_->id,
                                     .is_engine = service_->engine.has_value(),
                                     .complete = outcome == attempt_outcome::answered,
                                     .running = ended.placement.running,
                                     .queued_tokens = ended.placement.queued_tokens,
                                     .uncached_tokens =
                                         last_placement_->load.pending_prefill_tokens,
                                     .longest_pause = ended.longest_pause,
                                     .events = ended.events_arrived};
    if (ended.answer_begun)
    {
        summary.until_answer = *ended.answer_begun - ended.sent_at;
    }
    if (ended.events_arrived > 0)
    {
        summary.streaming = ended.last_event - *ended.answer_begun;
    }
    return summary;
}

/// Shares count what callers receive. Upstreams that crash lose a flooding workspace's requests,
/// some ten thousand tokens each. Counted as served, these kept the workspace from being placed for
/// the whole share window, while others got three times as much.
void request_session::refund_share(attempt_outcome outcome)
{
    const bool was_served =
        outcome == attempt_outcome::answered || outcome == attempt_outcome::upstream_error;
    if (!counted_as_served_ || was_served)
    {
        return;
    }
    counted_as_served_ = false;
    core_.shares.retract_served(workspace_id_, share_tokens(), core_.now());
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
    core_.untrack_in_flight(last->placement.target.id, *this);
    core_.load_tracker.record_end(last->placement.target.id, last->placement.load);
    if (service_->engine && last->answer_begun)
    {
        core_.placer.homes().record_duration(metadata_.parts, core_.now() - last->sent_at,
                                             core_.now());
    }
    // A completed call has returned its connection to the pool. On any other connection the
    // upstream may still send bytes.
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
