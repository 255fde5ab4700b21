#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;

namespace
{

struct drained_fixture : router_fixture
{
    stand_in_runner near{loop, timers, "i-1"};
    stand_in_runner far{loop, timers, "i-2"};
    int asked = 0;

    drained_fixture()
    {
        accept(1,
               {{.prefix = "/a/"}, {.prefix = "/e/", .kind = "streaming", .service = "engines"}});
        far.zone = "z2";
        add(near);
        add(far);
    }

    void drain(const std::string& zone, const std::string& value = "{}")
    {
        store.put("op", "evacuate/" + zone, value);
    }

    void take_back(const std::string& zone)
    {
        store.remove("op", "evacuate/" + zone);
    }

    bool is_drained(caraway::router::daemon& router, const std::string& id)
    {
        const auto state = router.state();
        for (const auto& each : state["upstreams"])
        {
            if (each["id"] == id)
            {
                return each["zone_drained"].get<bool>();
            }
        }
        return false;
    }

    bool becomes_drained(caraway::router::daemon& router, const std::string& id,
                         bool drained = true)
    {
        return becomes_true([&] { return is_drained(router, id) == drained; });
    }

    std::string ask_once(caraway::router::daemon& router, const std::string& prefix = "/a/")
    {
        const auto end = ask(router, prefix, "id-" + std::to_string(++asked));
        BOOST_REQUIRE(
            becomes_true([&] { return end->heard.find("\r\n\r\n") != std::string::npos; }));
        return end->heard;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(drained_zones, drained_fixture)

BOOST_AUTO_TEST_CASE(requests_go_elsewhere_until_the_zone_is_taken_back)
{
    auto& router = start_router();
    drain("z1");
    BOOST_REQUIRE(becomes_drained(router, "i-1"));
    for (int each = 0; each < 5; ++each)
    {
        BOOST_TEST(ask_once(router).starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(near.arrivals == 0);

    take_back("z1");
    drain("z2");
    BOOST_REQUIRE(becomes_drained(router, "i-1", false));
    BOOST_REQUIRE(becomes_drained(router, "i-2"));
    BOOST_TEST(ask_once(router).starts_with("HTTP/1.1 200"));
    BOOST_TEST(near.arrivals == 1);
}

BOOST_AUTO_TEST_CASE(with_all_zones_drained_callers_are_refused_at_once_and_told_when_to_come_back)
{
    auto& router = start_router();
    drain("z1");
    drain("z2");
    BOOST_REQUIRE(becomes_drained(router, "i-1"));
    BOOST_REQUIRE(becomes_drained(router, "i-2"));

    const auto answer = ask_once(router);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    BOOST_TEST(answer.find("zones_drained") != std::string::npos);
    BOOST_TEST(near.arrivals + far.arrivals == 0);
}

BOOST_AUTO_TEST_CASE(a_router_that_starts_meanwhile_knows_it_before_it_is_ready)
{
    drain("z1");
    auto& router = start_router();
    BOOST_TEST(is_drained(router, "i-1"));
    BOOST_TEST(ask_once(router).starts_with("HTTP/1.1 200"));
    BOOST_TEST(near.arrivals == 0);
}

BOOST_AUTO_TEST_CASE(one_that_the_store_turns_away_hears_of_it_from_a_peer)
{
    stand_in_store turned_away(loop, timers);
    turned_away.become_copy_of(store);
    auto& first = start_router("r1");
    seeds = {first.options().control};
    auto& second = start_router_at(turned_away, "r2", true);
    turned_away.away = true;

    drain("z1");
    BOOST_TEST(becomes_drained(first, "i-1"));
    BOOST_TEST(becomes_drained(second, "i-1"));
    take_back("z1");
    BOOST_TEST(becomes_drained(second, "i-1", false));
}

BOOST_AUTO_TEST_CASE(a_zone_taken_back_in_a_gap_of_the_history_is_used_again)
{
    auto& router = start_router();
    drain("z1");
    BOOST_REQUIRE(becomes_drained(router, "i-1"));
    store.away = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "configuration"}); }));
    take_back("z1");
    store.forget_history();
    store.away = false;
    BOOST_TEST(becomes_drained(router, "i-1", false));
}

BOOST_AUTO_TEST_CASE(rows_of_other_writers_are_told_of_and_ignored)
{
    auto& router = start_router();
    drain("z1", "\"x");
    drain("nowhere");
    drain("");
    BOOST_REQUIRE(becomes_true([&] { return logged({"drained_zone_unreadable", "evacuate/z1"}); }));
    BOOST_REQUIRE(becomes_true([&] { return logged({"drained_zone_unknown", "nowhere"}); }));
    BOOST_REQUIRE(becomes_true(
        [&] {
            return logged({"drained_zone_unreadable", "\"evacuate/\""});
        }));
    BOOST_TEST(!is_drained(router, "i-1"));
    BOOST_TEST(ask_once(router).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()
