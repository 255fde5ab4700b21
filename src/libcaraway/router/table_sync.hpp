#pragma once

#include "libcaraway/http/timer_queue.hpp"
#include "libcaraway/router/ports.hpp"
#include "libcaraway/routing/row_follower.hpp"
#include "libcaraway/telemetry/line_log.hpp"

namespace caraway::router
{

/// Keeps a copy of one table of the platform's store current: makes the calls that `row_follower`
/// asks for and reports their results as events.
class table_sync
{
public:
    struct events
    {
        /// The whole table was read. Its revision may be older than the current one if a peer's
        /// newer copy was adopted meanwhile.
        std::function<void(const rows_answer&)> all;
        /// Rows that changed, in the order of their changes.
        std::function<void(const std::vector<row>&)> changed;
        /// A call failed while the store was considered reachable.
        std::function<void()> unreachable;
        /// The store is reachable again, or calls were paused during an outage.
        std::function<void()> recovered;
    };

    table_sync(std::string name, http::timer_queue& timers, telemetry::line_log& log,
               table_port port, routing::follower_options options, events handlers);

    void start();
    void set_pace(std::chrono::milliseconds gap, std::chrono::milliseconds hold)
    {
        follower_.set_pace(gap, hold);
    }
    void set_max_backoff(std::chrono::milliseconds max_backoff)
    {
        follower_.set_max_backoff(max_backoff);
    }
    /// Stops making calls; peers provide the changes. An unreachable store counts as recovered.
    void pause();
    /// Makes calls again, starting at the latest known revision.
    void resume();
    bool is_paused() const
    {
        return paused_;
    }
    /// Records that a peer's copy, current up to this revision, was applied.
    void adopt(std::uint64_t revision);
    /// Number of successful answers from the store so far.
    std::uint64_t answers() const
    {
        return answers_;
    }
    /// When the store last answered, at the earliest: an answer that lay in the socket of a router
    /// that stood still says nothing of the time since.
    base::time_point last_answer() const
    {
        return last_answer_;
    }
    /// The store's clock by its last answer; empty if none named it.
    std::optional<std::chrono::milliseconds> store_time(base::time_point now) const;
    std::uint64_t revision() const
    {
        return follower_.revision();
    }
    bool store_unreachable() const
    {
        return follower_.lost();
    }
    bool has_read() const
    {
        return follower_.has_read();
    }
    /// How long the copy has been fresh without interruption; 0 if the copy is stale.
    base::duration fresh_for(base::time_point now) const
    {
        return paused_ || store_unreachable() || !has_read() ? base::duration::zero()
                                                             : now - fresh_since_;
    }

private:
    void call();
    void schedule();
    void on_answer(bool full_read, base::result<rows_answer> result);
    void record_failure(const base::error& failure);

    std::string name_;
    http::timer_queue& timers_;
    telemetry::line_log& log_;
    table_port port_;
    routing::row_follower follower_;
    events events_;
    base::time_point fresh_since_{};
    std::uint64_t answers_ = 0;
    base::time_point called_{};
    base::time_point last_answer_{};
    /// The store's clock less this router's.
    std::optional<base::duration> store_clock_offset_;
    bool paused_ = false;
    /// A call is in flight, or a timer is set for the next.
    bool call_pending_ = false;
};

}  // namespace caraway::router
