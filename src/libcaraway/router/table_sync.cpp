#include "libcaraway/router/table_sync.hpp"

namespace caraway::router
{

table_sync::table_sync(std::string name, http::timer_queue& timers, telemetry::line_log& log,
                       table_port port, routing::follower_options options, events on)
    : name_(std::move(name)), timers_(timers), log_(log), port_(std::move(port)),
      follower_(options), on_(std::move(on))
{
}

void table_sync::start()
{
    schedule();
}

void table_sync::pause()
{
    if (resting_)
    {
        return;
    }
    resting_ = true;
    if (follower_.lost())
    {
        follower_.answered(follower_.revision(), timers_.now());
        on_.recovered();
    }
}

void table_sync::resume()
{
    if (!resting_)
    {
        return;
    }
    resting_ = false;
    fresh_since_ = timers_.now();
    if (!pending_)
    {
        schedule();
    }
}

void table_sync::adopt(std::uint64_t revision)
{
    follower_.answered(revision, timers_.now());
}

void table_sync::schedule()
{
    pending_ = !resting_;
    if (resting_)
    {
        return;
    }
    timers_.at(follower_.next(timers_.now()).at, [this] { call(); });
}

void table_sync::call()
{
    if (resting_)
    {
        pending_ = false;
        return;
    }
    const auto next = follower_.next(timers_.now());
    if (next.what == routing::row_follower::step::read_all)
    {
        port_.read_all([this](auto result) { on_answer(true, std::move(result)); });
        return;
    }
    port_.follow(next.after, next.hold,
                 [this](auto result) { on_answer(false, std::move(result)); });
}

void table_sync::on_answer(bool whole, base::result<rows_answer> result)
{
    // Of a call from before the rest: peers are believed now, and a failure that counted as an
    // outage would never end.
    if (resting_)
    {
        pending_ = false;
        return;
    }
    const auto now = timers_.now();
    if (!result)
    {
        note_failure(result.error());
        schedule();
        return;
    }
    if (result.value().history_gone)
    {
        log_.line("store_history_gone", {{"table", name_}, {"after", follower_.revision()}});
        follower_.history_gone(now);
        schedule();
        return;
    }
    ++answers_;
    const bool was_lost = follower_.lost();
    if (was_lost || !follower_.has_read())
    {
        fresh_since_ = now;
    }
    follower_.answered(result.value().revision, now);
    if (was_lost)
    {
        log_.line("store_back", {{"table", name_}, {"revision", follower_.revision()}});
        on_.recovered();
    }
    if (whole)
    {
        on_.all(result.value());
    }
    else if (!result.value().rows.empty())
    {
        on_.changed(result.value().rows);
    }
    schedule();
}

void table_sync::note_failure(const base::error& why)
{
    const bool was_lost = follower_.lost();
    follower_.failed(timers_.now());
    if (was_lost)
    {
        return;
    }
    log_.line("store_lost",
              {{"table", name_}, {"because", why.message}, {"revision", follower_.revision()}});
    on_.unreachable();
}

}  // namespace caraway::router
