#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/http/owner_token.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace caraway::http
{

/// Multiplexes all deadlines of a process onto one event-loop timer. One timer per request would
/// mean one wake-up per request, although most deadlines are cancelled before they expire.
class timer_queue
{
public:
    using action = std::function<void()>;

    /// Identifies a scheduled action; a default-constructed handle identifies none.
    struct handle
    {
        base::time_point at{};
        std::uint64_t number = 0;

        friend auto operator<=>(const handle&,
                                const handle&) = default;  // NOLINT(modernize-use-nullptr)
    };

    timer_queue(boost::asio::io_context& loop, const base::clock& clock);

    handle at(base::time_point deadline, action callback);
    handle after(base::duration delay, action callback);
    /// Removes the action, if it has not run yet, and resets `timer`.
    void cancel(handle& timer);

    /// Runs all expired actions. Called by the event-loop timer, and by code that detects a
    /// suspension of the VM: the timer does not count suspended time and would fire late by it.
    void run_due();

    base::time_point now() const
    {
        return clock_.now();
    }
    /// When actions last ran. What the event loop handles now can have arrived any time since, at
    /// the earliest: a process that has regular actions was last seen at work then.
    base::time_point last_run() const
    {
        return last_run_;
    }

private:
    void arm();

    const base::clock& clock_;
    boost::asio::steady_timer timer_;
    std::map<handle, action> queue_;
    std::uint64_t last_number_ = 0;
    base::time_point armed_for_ = base::time_point::max();
    base::time_point last_run_{};
    bool running_ = false;
    owner_token owner_;
};

}  // namespace caraway::http
