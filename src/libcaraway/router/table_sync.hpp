#pragma once

#include "libcaraway/http/timer_queue.hpp"
#include "libcaraway/router/ports.hpp"
#include "libcaraway/routing/row_follower.hpp"
#include "libcaraway/telemetry/line_log.hpp"

namespace caraway::router
{

/// Keeps one table of the platform's store followed: makes the calls that the follower wants and
/// hands on what they bring.
class table_sync
{
public:
    struct events
    {
        /// The whole table. Its revision may be older than the one followed from: a peer's newer
        /// copy may have been taken over meanwhile.
        std::function<void(const rows_answer&)> all;
        /// Rows that changed, in order.
        std::function<void(const std::vector<row>&)> changed;
        std::function<void()> unreachable;
        std::function<void()> recovered;
    };

    table_sync(std::string name, http::timer_queue& timers, telemetry::line_log& log,
               table_port port, routing::follower_options options, events on);

    void start();
    void set_pace(std::chrono::milliseconds gap, std::chrono::milliseconds hold)
    {
        follower_.set_pace(gap, hold);
    }
    void set_max_backoff(std::chrono::milliseconds max_backoff)
    {
        follower_.set_longest_pause(max_backoff);
    }
    /// Makes no more calls: peers tell what changes. What was lost counts as back.
    void pause();
    /// Makes calls again, from the revision that was told last.
    void resume();
    bool is_paused() const
    {
        return resting_;
    }
    /// A peer's copy was taken over, current up to that revision.
    void adopt(std::uint64_t revision);
    /// Answers of the store so far.
    std::uint64_t answers() const
    {
        return answers_;
    }
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
    /// How long the copy has been fresh without a break; 0 if it isn't.
    base::duration fresh_for(base::time_point now) const
    {
        return resting_ || store_unreachable() || !has_read() ? base::duration::zero()
                                                              : now - fresh_since_;
    }

private:
    void call();
    void schedule();
    void on_answer(bool whole, base::result<rows_answer> result);
    void note_failure(const base::error& why);

    std::string name_;
    http::timer_queue& timers_;
    telemetry::line_log& log_;
    table_port port_;
    routing::row_follower follower_;
    events on_;
    base::time_point fresh_since_{};
    std::uint64_t answers_ = 0;
    bool resting_ = false;
    /// A call is under way, or a timer is set for the next.
    bool pending_ = false;
};

}  // namespace caraway::router
