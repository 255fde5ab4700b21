// Detection of streams whose upstream sends nothing any more.
//
// An upstream that lost power sends no reset: its streams stay open without data, and callers wait
// until they time out. A silent upstream isn't known to be dead, so a stream is moved away from it
// only if the stream is resumable and another upstream can continue it at once.
#include "libcaraway/router/request_session.hpp"

#include <algorithm>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// The silence after which another upstream resumes the stream, as a multiple of the route's
/// target: for the gap between events, or for the latency of the first event. Callers leave after
/// eight such gaps or four such latencies, and after two seconds at the earliest.
constexpr int silent_gaps = 4;
constexpr int silent_latencies = 3;
constexpr milliseconds min_silence_timeout{1000};

}  // namespace

void request_session::start_silence_timer(attempt& current)
{
    const bool can_resume =
        route_->streaming && route_->resumable && attempts_sent_ < route_->max_attempts;
    if (!can_resume)
    {
        return;
    }
    current.silence_timer = core_.timers.at(current.last_activity + silence_timeout(),
                                            [weak = weak_from_this()]
                                            {
                                                if (const auto self = weak.lock())
                                                {
                                                    self->on_silence_timer();
                                                }
                                            });
}

void request_session::on_silence_timer()
{
    if (ended_ || !attempt_)
    {
        return;
    }
    const auto now = core_.now();
    if (attempt_->held_back)
    {
        // An answer that isn't read says nothing about its upstream.
        attempt_->last_activity = now;
    }
    const auto silent = to_milliseconds(now - attempt_->last_activity);
    if (silent < silence_timeout())
    {
        start_silence_timer(*attempt_);
        return;
    }
    auto placement = time_left() > min_time_left ? find_placement() : std::nullopt;
    if (!placement || !core_.retries.take_retry(service_->id, now))
    {
        attempt_->last_activity = now;
        start_silence_timer(*attempt_);
        return;
    }
    const auto keep = shared_from_this();
    const auto& id = attempt_->placement.target.id;
    core_.log.request_line("attempt",
                           {{"request", metadata_.id.str()},
                            {"upstream", id.str()},
                            {"software", attempt_->placement.target.software.str()},
                            {"end", "silent"},
                            {"took_ms", to_milliseconds(now - attempt_->sent_at).count()},
                            {"silent_ms", silent.count()},
                            {"next", "resume"}});
    core_.record_attempt_result(id, service_->id, scheduling::attempt_result::failed);
    may_have_run_ = true;
    release_attempt();
    send(std::move(*placement));
}

milliseconds request_session::silence_timeout() const
{
    const auto timeout = answer_begun_ ? silent_gaps * route_->gap_target
                                       : silent_latencies * route_->latency_target;
    return std::max(timeout, min_silence_timeout);
}

}  // namespace caraway::router
