#pragma once

#include "libcaraway/base/clock.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace users_platform_tests
{

/// Time as it passes for an event loop whose handlers never take long: for routers that share one
/// loop, on a machine as busy as may be. Never ahead of the machine's clock, by which the loop's
/// own timers run.
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

    /// Runs one handler, or waits a little if none is due.
    void turn(boost::asio::io_context& loop)
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
    void advance(caraway::base::duration passed, caraway::base::duration at_most)
    {
        now_ += std::min(passed, at_most);
    }

    caraway::base::machine_clock machine_;
    caraway::base::time_point now_ = machine_.now();
};

}  // namespace users_platform_tests
