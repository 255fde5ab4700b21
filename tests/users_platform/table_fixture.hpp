#pragma once

#include "paced_clock.hpp"
#include "router_fixture.hpp"

namespace users_platform_tests
{

/// A configuration with one route, and two runners of which only the first is in the store.
struct table_fixture : router_fixture
{
    stand_in_runner first{loop, timers, "i-1"};
    stand_in_runner second{loop, timers, "i-2"};

    table_fixture()
    {
        accept_configuration(1, {{.prefix = "/a/"}});
        add_upstream(first);
    }

    static std::uint64_t version(caraway::router::daemon& router)
    {
        return router.state()["version"].get<std::uint64_t>();
    }
};

/// For some dozen routers on one loop, which must not measure themselves as overloaded on a machine
/// that is busy with other work.
struct fleet_fixture : table_fixture
{
    paced_clock paced;
    caraway::http::timer_queue paced_timers{loop, paced};

    fleet_fixture()
    {
        router_clock = &paced;
        router_timers = &paced_timers;
    }
    ~fleet_fixture()
    {
        routers.clear();
    }

    bool becomes_true_paced(const std::function<bool()>& condition)
    {
        constexpr std::chrono::milliseconds poll_interval(50);
        constexpr int max_polls = 200;
        for (int poll = 0; poll < max_polls && !condition(); ++poll)
        {
            wait_for(poll_interval);
        }
        return condition();
    }

    void wait_for(std::chrono::milliseconds wait_time)
    {
        const auto wait_end = paced.now() + wait_time;
        while (paced.now() < wait_end)
        {
            paced.run_one(loop);
        }
    }
};

}  // namespace users_platform_tests
