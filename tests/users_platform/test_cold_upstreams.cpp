#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace std::chrono_literals;

namespace
{

struct cold_fixture : router_fixture
{
    stand_in_runner warm{loop, timers, "i-1"};
    stand_in_runner cold{loop, timers, "i-2"};

    cold_fixture()
    {
        warmup_rate = 2;
        accept_configuration(1, {{.prefix = "/e/", .kind = "streaming", .service = "engines"}});
        add_upstream(warm, "engines");
    }

    /// Starts a router with both upstreams listed, one of them cold for another `left_ms`.
    caraway::router::daemon& start_with_cold(int left_ms)
    {
        cold.warmup_left_ms = left_ms;
        add_upstream(cold, "engines");
        return start_router();
    }

    bool is_cold(caraway::router::daemon& router, const std::string& id)
    {
        const auto state = router.state();
        for (const auto& upstream : state["upstreams"])
        {
            if (upstream["id"] == id)
            {
                return upstream["cold"].get<bool>();
            }
        }
        return false;
    }

    void send_requests(caraway::router::daemon& router, int count)
    {
        for (int number = 0; number < count; ++number)
        {
            BOOST_TEST(receives_status(send_request(router, "/e/", "id-" + std::to_string(number)),
                                       "200"));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cold_upstreams, cold_fixture)

// Guards against an upstream that is overloaded because it gets its full share of requests while it
// is cold.
BOOST_AUTO_TEST_CASE(a_cold_upstream_gets_no_more_requests_than_its_rate_allows)
{
    auto& router = start_with_cold(60000);
    BOOST_TEST(is_cold(router, "i-2"));
    send_requests(router, 20);
    // All 20 take less than the half second between two requests to a cold upstream.
    BOOST_TEST(cold.requests_received <= 2);
    BOOST_TEST(warm.requests_received >= 18);
}

BOOST_AUTO_TEST_CASE(an_upstream_is_warm_after_the_warmup_time_in_its_entry)
{
    auto& router = start_with_cold(400);
    BOOST_TEST(becomes_true([&] { return !is_cold(router, "i-2"); }));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_warm", "i-2"}); }));
}

BOOST_AUTO_TEST_CASE(an_upstream_may_become_cold_again)
{
    auto& router = start_with_cold(0);
    BOOST_TEST(!is_cold(router, "i-2"));
    cold.warmup_left_ms = 60000;
    add_upstream(cold, "engines");
    BOOST_TEST(becomes_true([&] { return is_cold(router, "i-2"); }));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_cold", "its_entry"}); }));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_appears_without_a_warmup_time_is_cold)
{
    auto& router = start_router();
    add_upstream(cold, "engines");
    BOOST_TEST(becomes_true([&] { return is_cold(router, "i-2"); }));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_cold", "appeared"}); }));
}

BOOST_AUTO_TEST_CASE(upstreams_listed_before_the_router_started_are_warm)
{
    auto& router = start_router();
    BOOST_TEST(!is_cold(router, "i-1"));
}

// Guards against sending full load to a zone that is no longer drained, while the entries of its
// upstreams don't yet state a warmup time.
BOOST_AUTO_TEST_CASE(upstreams_of_a_zone_no_longer_drained_are_cold)
{
    store.put("op", "evacuate/z1", "{}");
    auto& router = start_router();
    store.remove("op", "evacuate/z1");
    BOOST_TEST(becomes_true([&] { return is_cold(router, "i-1"); }));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_cold", "zone_taken_back"}); }));
}

BOOST_AUTO_TEST_CASE(requests_are_rejected_with_a_reason_when_all_upstreams_are_cold)
{
    store.remove("servers", "i-1");
    auto& router = start_with_cold(60000);
    send_requests(router, 1);
    const auto rejected = send_request(router, "/e/", "id-2");
    BOOST_REQUIRE(receives_status(rejected, "503"));
    BOOST_TEST(rejected->received.find("upstreams_cold") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
