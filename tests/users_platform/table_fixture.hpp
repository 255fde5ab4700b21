#pragma once

#include "paced_clock.hpp"
#include "router_fixture.hpp"

namespace users_platform_tests
{

/// A route, and two runners of which one is listed.
struct table_fixture : router_fixture
{
    stand_in_runner first{loop, timers, "i-1"};
    stand_in_runner second{loop, timers, "i-2"};

    table_fixture()
    {
        accept(1, {{.prefix = "/a/"}});
        add(first);
    }

    static std::uint64_t version(caraway::router::daemon& router)
    {
        return router.state()["version"].get<std::uint64_t>();
    }
};

/// Some dozen routers on the one loop, which must not take themselves for overloaded on a machine
/// that is busy with other things.
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

    bool comes_true(const std::function<bool()>& condition)
    {
        constexpr std::chrono::milliseconds pause(50);
        constexpr int looks = 200;
        for (int look = 0; look < looks && !condition(); ++look)
        {
            wait_for(pause);
        }
        return condition();
    }

    void wait_for(std::chrono::milliseconds span)
    {
        const auto until = paced.now() + span;
        while (paced.now() < until)
        {
            paced.turn(loop);
        }
    }
};

}  // namespace users_platform_tests
