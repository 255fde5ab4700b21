#pragma once

#include "jumping_clock.hpp"
#include "router_fixture.hpp"

namespace users_platform_tests
{

/// For routers whose VM stands still while the test moves their clock ahead.
struct late_router_fixture : router_fixture
{
    jumping_clock jumping;
    caraway::http::timer_queue late_timers{loop, jumping};

    late_router_fixture()
    {
        router_clock = &jumping;
        router_timers = &late_timers;
    }
    ~late_router_fixture()
    {
        routers.clear();
    }
};

}  // namespace users_platform_tests
