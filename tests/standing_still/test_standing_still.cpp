#include "../users_platform/late_router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace std::chrono_literals;

namespace
{

struct standstill_fixture : late_router_fixture
{
    stand_in_runner leaving{loop, timers, "i-1"};
    stand_in_runner staying{loop, timers, "i-2"};

    standstill_fixture()
    {
        accept_configuration(1, {{.prefix = "/a/"}});
        add_upstream(leaving);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(standing_still, standstill_fixture)

// A VM stands still while its upstream leaves, and no digest of a peer is left in its socket.
BOOST_AUTO_TEST_CASE(a_request_is_not_placed_on_what_was_known_before_a_standstill)
{
    auto& router = start_router();
    store.unavailable = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    const auto caller = http_tests::connect_to(loop, router.options().callers.port);

    jumping.ahead = 4s;
    add_upstream(leaving, "plain", "draining");
    add_upstream(staying);
    store.unavailable = false;
    caller->send("GET /a/ HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: after\r\n"
                 "Api-Key: key-1\r\n\r\n");

    BOOST_TEST(
        becomes_true([&] { return caller->received.find("\r\n\r\n") != std::string::npos; }));
    BOOST_TEST(leaving.runs.empty());
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-2 "; }));
    BOOST_TEST(receives_status(send_request(router, "/a/", "once_confirmed"), "200"));
}

BOOST_AUTO_TEST_SUITE_END()
