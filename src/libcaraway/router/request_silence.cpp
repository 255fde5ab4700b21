// Streams whose upstream fell silent.
//
// An upstream that lost power sends no reset: its streams end in silence, and their callers wait in
// vain until they leave. A silent one isn't known to be dead, so a stream is taken from it only if
// it may be resumed and another upstream can go on with it at once.
#include "libcaraway/router/request_session.hpp"

#include <algorithm>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Silence after which another upstream is asked to go on: so many of the longest pauses, or of the
/// times to a first event, that are still on time. Callers leave after eight such pauses or four
/// such times, and after two seconds at the soonest.
constexpr int silent_pauses = 4;
constexpr int silent_starts = 3;
constexpr milliseconds least_silence{1000};

}  // namespace

void request_session::watch_silence(attempt& of)
{
    const bool could_resume =
        route_->streaming && route_->resumable && sent_ < route_->max_attempts;
    if (!could_resume)
    {
        return;
    }
    of.silence_timer = core_.timers.at(of.last_sign + longest_silence(),
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
    const auto silent = to_milliseconds(now - attempt_->last_sign);
    if (silent < longest_silence())
    {
        watch_silence(*attempt_);
        return;
    }
    auto place = time_left() > min_time_left ? find_place() : std::nullopt;
    if (!place || !core_.retries.take_repeat(service_->id, now))
    {
        attempt_->last_sign = now;
        watch_silence(*attempt_);
        return;
    }
    const auto keep = shared_from_this();
    const auto& id = attempt_->place.where.id;
    core_.log.request_line("attempt", {{"request", facts_.id.str()},
                                       {"upstream", id.str()},
                                       {"end", "silent"},
                                       {"took_ms", to_milliseconds(now - attempt_->sent).count()},
                                       {"silent_ms", silent.count()},
                                       {"next", "resume"}});
    core_.record_attempt_result(id, service_->id, scheduling::attempt_result::failed);
    may_have_run_ = true;
    release_attempt();
    send(std::move(*place));
}

milliseconds request_session::longest_silence() const
{
    const auto usual =
        begun_ ? silent_pauses * route_->gap_target : silent_starts * route_->latency_target;
    return std::max(usual, least_silence);
}

}  // namespace caraway::router
