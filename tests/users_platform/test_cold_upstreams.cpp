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
        accept(1, {{.prefix = "/e/", .kind = "streaming", .service = "engines"}});
        add(warm, "engines");
    }

    /// Both are listed, one of them cold for so long.
    caraway::router::daemon& start_with_cold(int left_ms)
    {
        cold.warmup_left_ms = left_ms;
        add(cold, "engines");
        return start_router();
    }

    bool is_cold(caraway::router::daemon& router, const std::string& id)
    {
        const auto state = router.state();
        for (const auto& each : state["upstreams"])
        {
            if (each["id"] == id)
            {
                return each["cold"].get<bool>();
            }
        }
        return false;
    }

    void ask_times(caraway::router::daemon& router, int times)
    {
        for (int each = 0; each < times; ++each)
        {
            BOOST_TEST(answered(ask(router, "/e/", "id-" + std::to_string(each)), "200"));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cold_upstreams, cold_fixture)

// Guards against an upstream that falls over as all its requests come while it is cold.
BOOST_AUTO_TEST_CASE(a_cold_one_gets_one_request_in_the_time_that_its_rate_allows)
{
    auto& router = start_with_cold(60000);
    BOOST_TEST(is_cold(router, "i-2"));
    ask_times(router, 20);
    // The 20 take less than the half second between two.
    BOOST_TEST(cold.arrivals <= 2);
    BOOST_TEST(warm.arrivals >= 18);
}

BOOST_AUTO_TEST_CASE(it_is_warm_when_the_time_that_its_entry_told_is_over)
{
    auto& router = start_with_cold(400);
    BOOST_TEST(becomes_true([&] { return !is_cold(router, "i-2"); }));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_warm", "i-2"}); }));
}

BOOST_AUTO_TEST_CASE(one_may_become_cold_again)
{
    auto& router = start_with_cold(0);
    BOOST_TEST(!is_cold(router, "i-2"));
    cold.warmup_left_ms = 60000;
    add(cold, "engines");
    BOOST_TEST(becomes_true([&] { return is_cold(router, "i-2"); }));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_cold", "its_entry"}); }));
}

BOOST_AUTO_TEST_CASE(one_that_appears_and_tells_nothing_is_cold)
{
    auto& router = start_router();
    add(cold, "engines");
    BOOST_TEST(becomes_true([&] { return is_cold(router, "i-2"); }));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_cold", "appeared"}); }));
}

BOOST_AUTO_TEST_CASE(those_that_were_there_before_the_router_are_warm)
{
    auto& router = start_router();
    BOOST_TEST(!is_cold(router, "i-1"));
}

// Guards against a zone that is taken back and whose upstreams' entries still say nothing.
BOOST_AUTO_TEST_CASE(those_of_a_zone_that_is_taken_back_are_cold)
{
    store.put("op", "evacuate/z1", "{}");
    auto& router = start_router();
    store.remove("op", "evacuate/z1");
    BOOST_TEST(becomes_true([&] { return is_cold(router, "i-1"); }));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_cold", "zone_taken_back"}); }));
}

BOOST_AUTO_TEST_CASE(callers_that_find_only_cold_ones_are_told_so)
{
    store.remove("servers", "i-1");
    auto& router = start_with_cold(60000);
    ask_times(router, 1);
    const auto refused = ask(router, "/e/", "id-2");
    BOOST_REQUIRE(answered(refused, "503"));
    BOOST_TEST(refused->heard.find("upstreams_cold") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
