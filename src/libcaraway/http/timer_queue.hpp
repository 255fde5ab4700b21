#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/http/owner_token.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace caraway::http
{

/// All deadlines of a process on one timer of the event loop: a timer a request would be a wake-up
/// a request, and most deadlines never come.
class timer_queue
{
public:
    using action = std::function<void()>;

    /// Names a deadline; a default one names none.
    struct handle
    {
        base::time_point at{};
        std::uint64_t number = 0;

        friend auto operator<=>(const handle&,
                                const handle&) = default;  // NOLINT(modernize-use-nullptr)
    };

    timer_queue(boost::asio::io_context& loop, const base::clock& clock);

    handle at(base::time_point when, action what);
    handle after(base::duration delay, action what);
    /// Nothing happens if it has run or names none.
    void cancel(handle& which);

    /// Runs what is due. Called by its own timer, and by whoever notices that time has passed
    /// uncounted: after a suspended VM wakes, the loop's timer is late by all the time it slept.
    void run_due();

    base::time_point now() const
    {
        return clock_.now();
    }

private:
    void arm();

    const base::clock& clock_;
    boost::asio::steady_timer timer_;
    std::map<handle, action> queue_;
    std::uint64_t last_ = 0;
    base::time_point armed_for_ = base::time_point::max();
    bool running_ = false;
    owner_token owner_;
};

}  // namespace caraway::http
