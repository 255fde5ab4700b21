#include "libcaraway/router/table_sync.hpp"

#include <algorithm>

namespace caraway::router
{

table_sync::table_sync(std::string name, http::timer_queue& timers, telemetry::line_log& log,
                       table_port port, routing::follower_options options, events handlers)
    : name_(std::move(name)), timers_(timers), log_(log), port_(std::move(port)),
      follower_(options), events_(std::move(handlers))
{
}

void table_sync::start()
{
    schedule();
}

void table_sync::pause()
{
    if (paused_)
    {
        return;
    }
    paused_ = true;
    if (follower_.lost())
    {
        follower_.record_answer(follower_.revision(), timers_.now());
        events_.recovered();
    }
}

void table_sync::resume()
{
    if (!paused_)
    {
        return;
    }
    paused_ = false;
    fresh_since_ = timers_.now();
    if (!call_pending_)
    {
        schedule();
    }
}

void table_sync::adopt(std::uint64_t revision)
{
    follower_.record_answer(revision, timers_.now());
}

void table_sync::schedule()
{
    call_pending_ = !paused_;
    if (paused_)
    {
        return;
    }
    timers_.at(follower_.next(timers_.now()).not_before, [this] { call(); });
}

void table_sync::call()
{
    if (paused_)
    {
        call_pending_ = false;
        return;
    }
    called_ = timers_.now();
    const auto next = follower_.next(called_);
    if (next.kind == routing::row_follower::call_kind::read_all)
    {
        port_.read_all([this](auto result) { on_answer(true, std::move(result)); });
        return;
    }
    port_.follow(next.after, next.hold,
                 [this](auto result) { on_answer(false, std::move(result)); });
}

void table_sync::on_answer(bool full_read, base::result<rows_answer> result)
{
    // The call was made before the pause. Updates come from peers now, and a failure recorded here
    // would count as an outage that never ends.
    if (paused_)
    {
        call_pending_ = false;
        return;
    }
    const auto now = timers_.now();
    if (!result)
    {
        record_failure(result.error());
        schedule();
        return;
    }
    if (result.value().history_gone)
    {
        log_.line("store_history_gone", {{"table", name_}, {"after", follower_.revision()}});
        follower_.record_history_gone(now);
        schedule();
        return;
    }
    ++answers_;
    last_answer_ = std::max(called_, timers_.last_run());
    const bool was_lost = follower_.lost();
    if (was_lost || !follower_.has_read())
    {
        fresh_since_ = now;
    }
    follower_.record_answer(result.value().revision, now);
    if (const auto store_time = result.value().store_time)
    {
        store_clock_offset_ = *store_time - now.time_since_epoch();
    }
    if (was_lost)
    {
        log_.line("store_back", {{"table", name_}, {"revision", follower_.revision()}});
        events_.recovered();
    }
    if (full_read)
    {
        events_.all(result.value());
    }
    else if (!result.value().rows.empty())
    {
        events_.changed(result.value().rows);
    }
    schedule();
}

std::optional<std::chrono::milliseconds> table_sync::store_time(base::time_point now) const
{
    if (!store_clock_offset_)
    {
        return std::nullopt;
    }
    return std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch() +
                                                         *store_clock_offset_);
}

void table_sync::record_failure(const base::error& failure)
{
    const bool was_lost = follower_.lost();
    follower_.record_failure(timers_.now());
    if (was_lost)
    {
        return;
    }
    log_.line("store_lost",
              {{"table", name_}, {"because", failure.message}, {"revision", follower_.revision()}});
    events_.unreachable();
}

}  // namespace caraway::router
