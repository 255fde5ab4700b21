#include "late_router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace std::chrono_literals;
using run = stand_in_runner::run;

namespace
{

struct late_fixture : late_router_fixture
{
    stand_in_runner engine{loop, timers, "i-1"};

    /// Requests that occupy each slot of the engine.
    std::vector<std::shared_ptr<http_tests::raw_peer>> occupy(caraway::router::daemon& router)
    {
        constexpr std::size_t slots = 4;
        std::vector<std::shared_ptr<http_tests::raw_peer>> callers;
        engine.next_behaviours.assign(slots, [](stand_in_runner& serving, const run& current)
                                      { serving.begin_stream(current); });
        while (callers.size() < slots)
        {
            callers.push_back(send_request(router, "/e/", "id-" + std::to_string(callers.size())));
        }
        BOOST_REQUIRE(becomes_true([&] { return engine.runs.size() == slots; }));
        return callers;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(late_placements, late_fixture)

// A VM stands still while a request waits; a slot becomes free before the late timers run.
BOOST_AUTO_TEST_CASE(a_request_is_not_placed_after_its_callers_deadline)
{
    accept_configuration(1, {{.prefix = "/e/", .kind = "streaming", .service = "engines"}});
    add_upstream(engine, "engines");
    auto& router = start_router();
    const auto running = occupy(router);
    const auto late =
        send_request(router, "/e/", "late", "Api-Key: key-1\r\nX-Deadline-Ms: 900\r\n");
    BOOST_REQUIRE(becomes_true([&] { return router.state()["waiting"].get<int>() == 1; }));

    jumping.ahead = 2s;
    engine.runs.front().exchange->finish();

    BOOST_TEST(receives_status(late, "503"));
    BOOST_TEST(engine.requests_received == static_cast<int>(running.size()));
}

// More connections come than a loop accepts, so callers give up in the backlog; no limit is in
// force.
BOOST_AUTO_TEST_CASE(a_request_whose_caller_left_before_it_was_read_is_not_placed)
{
    accept_configuration(1, {{.prefix = "/e/", .kind = "streaming", .service = "engines"},
                             {.prefix = "/p/", .kind = "safe", .service = "plain"}});
    stand_in_runner plain{loop, timers, "i-2"};
    add_upstream(engine, "engines");
    add_upstream(plain);
    auto& router = start_router();

    for (int caller = 0; caller < 20; ++caller)
    {
        const auto target = caller % 2 == 0 ? "/e/" : "/p/";
        send_request(router, target, "left-" + std::to_string(caller))->close();
    }
    const auto staying = send_request(router, "/p/", "stays");

    BOOST_TEST(receives_status(staying, "200"));
    settle();
    BOOST_TEST(engine.requests_received == 0);
    BOOST_TEST(plain.requests_received == 1);
}

BOOST_AUTO_TEST_SUITE_END()
