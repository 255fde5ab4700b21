#include "libcaraway/http/timer_queue.hpp"

#include <algorithm>

namespace caraway::http
{

timer_queue::timer_queue(boost::asio::io_context& loop, const base::clock& clock)
    : clock_(clock), timer_(loop)
{
}

timer_queue::handle timer_queue::at(base::time_point deadline, action callback)
{
    const handle id{.at = deadline, .number = ++last_number_};
    queue_.emplace(id, std::move(callback));
    if (!running_ && deadline < armed_for_)
    {
        arm();
    }
    return id;
}

timer_queue::handle timer_queue::after(base::duration delay, action callback)
{
    return at(now() + delay, std::move(callback));
}

void timer_queue::cancel(handle& timer)
{
    queue_.erase(timer);
    timer = {};
}

void timer_queue::run_due()
{
    running_ = true;
    last_run_ = now();
    while (!queue_.empty() && queue_.begin()->first.at <= now())
    {
        const auto callback = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        callback();
    }
    running_ = false;
    arm();
}

void timer_queue::arm()
{
    if (queue_.empty())
    {
        armed_for_ = base::time_point::max();
        return;
    }
    const auto next_deadline = queue_.begin()->first.at;
    // The timer is not re-armed when its deadline is cancelled: an occasional wake-up without work
    // is cheaper than arming it for each request.
    armed_for_ = next_deadline;
    timer_.expires_after(std::max(next_deadline - now(), base::duration::zero()));
    timer_.async_wait(owner_.guard(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                run_due();
            }
        }));
}

}  // namespace caraway::http
