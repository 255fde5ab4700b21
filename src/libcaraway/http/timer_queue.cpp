#include "libcaraway/http/timer_queue.hpp"

#include <algorithm>

namespace caraway::http
{

timer_queue::timer_queue(boost::asio::io_context& loop, const base::clock& clock)
    : clock_(clock), timer_(loop)
{
}

timer_queue::handle timer_queue::at(base::time_point when, action what)
{
    const handle id{.at = when, .number = ++last_};
    queue_.emplace(id, std::move(what));
    if (!running_ && when < armed_for_)
    {
        arm();
    }
    return id;
}

timer_queue::handle timer_queue::after(base::duration delay, action what)
{
    return at(now() + delay, std::move(what));
}

void timer_queue::cancel(handle& which)
{
    queue_.erase(which);
    which = {};
}

void timer_queue::run_due()
{
    running_ = true;
    while (!queue_.empty() && queue_.begin()->first.at <= now())
    {
        const auto what = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        what();
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
    const auto next = queue_.begin()->first.at;
    // Deadlines that were cancelled are left to fire early and find nothing: cheaper than to arm
    // anew for each request.
    armed_for_ = next;
    timer_.expires_after(std::max(next - now(), base::duration::zero()));
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
