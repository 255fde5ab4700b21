#pragma once

#include "libcaraway/base/clock.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace users_platform_tests
{

/// Clock that limits the time each handler of an event loop appears to take, so that routers
/// sharing one loop don't measure themselves as overloaded on a busy machine. Never ahead of the
/// machine's clock, which drives the loop's own timers.
class paced_clock final : public caraway::base::clock
{
public:
    caraway::base::time_point now() const override
    {
        return now_;
    }
    std::chrono::system_clock::time_point wall_time() const override
    {
        return machine_.wall_time();
    }

    /// Runs one handler, or waits up to 1 ms if none is due. A handler that was due
    /// advances the clock by at most 100 us.
    void run_one(boost::asio::io_context& loop)
    {
        using namespace std::chrono_literals;
        loop.restart();
        const auto before = machine_.now();
        if (loop.poll_one() > 0)
        {
            advance(machine_.now() - before, 100us);
            return;
        }
        loop.run_one_for(1ms);
        advance(machine_.now() - before, 1ms);
    }

private:
    void advance(caraway::base::duration elapsed, caraway::base::duration limit)
    {
        now_ += std::min(elapsed, limit);
    }

    caraway::base::machine_clock machine_;
    caraway::base::time_point now_ = machine_.now();
};

}  // namespace users_platform_tests
