#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;

namespace
{

struct drained_fixture : router_fixture
{
    stand_in_runner near{loop, timers, "i-1"};
    stand_in_runner far{loop, timers, "i-2"};
    int requests_sent = 0;

    drained_fixture()
    {
        accept_configuration(
            1, {{.prefix = "/a/"}, {.prefix = "/e/", .kind = "streaming", .service = "engines"}});
        far.zone = "z2";
        add_upstream(near);
        add_upstream(far);
    }

    void drain(const std::string& zone, const std::string& value = "{}")
    {
        store.put("op", "evacuate/" + zone, value);
    }

    void end_drain(const std::string& zone)
    {
        store.remove("op", "evacuate/" + zone);
    }

    bool is_drained(caraway::router::daemon& router, const std::string& id)
    {
        const auto state = router.state();
        for (const auto& upstream : state["upstreams"])
        {
            if (upstream["id"] == id)
            {
                return upstream["zone_drained"].get<bool>();
            }
        }
        return false;
    }

    bool becomes_drained(caraway::router::daemon& router, const std::string& id,
                         bool drained = true)
    {
        return becomes_true([&] { return is_drained(router, id) == drained; });
    }

    std::string receive_answer(caraway::router::daemon& router, const std::string& prefix = "/a/")
    {
        const auto end = send_request(router, prefix, "id-" + std::to_string(++requests_sent));
        BOOST_REQUIRE(
            becomes_true([&] { return end->received.find("\r\n\r\n") != std::string::npos; }));
        return end->received;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(drained_zones, drained_fixture)

BOOST_AUTO_TEST_CASE(requests_avoid_a_zone_while_it_is_drained)
{
    auto& router = start_router();
    drain("z1");
    BOOST_REQUIRE(becomes_drained(router, "i-1"));
    for (int i = 0; i < 5; ++i)
    {
        BOOST_TEST(receive_answer(router).starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(near.requests_received == 0);

    end_drain("z1");
    drain("z2");
    BOOST_REQUIRE(becomes_drained(router, "i-1", false));
    BOOST_REQUIRE(becomes_drained(router, "i-2"));
    BOOST_TEST(receive_answer(router).starts_with("HTTP/1.1 200"));
    BOOST_TEST(near.requests_received == 1);
}

BOOST_AUTO_TEST_CASE(with_all_zones_drained_requests_are_rejected_at_once_with_retry_after)
{
    auto& router = start_router();
    drain("z1");
    drain("z2");
    BOOST_REQUIRE(becomes_drained(router, "i-1"));
    BOOST_REQUIRE(becomes_drained(router, "i-2"));

    const auto answer = receive_answer(router);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    BOOST_TEST(answer.find("zones_drained") != std::string::npos);
    BOOST_TEST(near.requests_received + far.requests_received == 0);
}

BOOST_AUTO_TEST_CASE(a_router_that_starts_during_a_drain_knows_of_it_before_it_is_ready)
{
    drain("z1");
    auto& router = start_router();
    BOOST_TEST(is_drained(router, "i-1"));
    BOOST_TEST(receive_answer(router).starts_with("HTTP/1.1 200"));
    BOOST_TEST(near.requests_received == 0);
}

BOOST_AUTO_TEST_CASE(a_router_rejected_by_the_store_learns_of_a_drain_from_a_peer)
{
    stand_in_store rejecting_store(loop, timers);
    rejecting_store.copy_from(store);
    auto& first = start_router("r1");
    seeds = {first.options().control};
    auto& second = start_router_at(rejecting_store, "r2", true);
    rejecting_store.unavailable = true;

    drain("z1");
    BOOST_TEST(becomes_drained(first, "i-1"));
    BOOST_TEST(becomes_drained(second, "i-1"));
    end_drain("z1");
    BOOST_TEST(becomes_drained(second, "i-1", false));
}

BOOST_AUTO_TEST_CASE(a_zone_whose_drain_ended_in_a_gap_of_the_history_is_used_again)
{
    auto& router = start_router();
    drain("z1");
    BOOST_REQUIRE(becomes_drained(router, "i-1"));
    store.unavailable = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "configuration"}); }));
    end_drain("z1");
    store.discard_history();
    store.unavailable = false;
    BOOST_TEST(becomes_drained(router, "i-1", false));
}

BOOST_AUTO_TEST_CASE(malformed_rows_of_drained_zones_are_logged_and_ignored)
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
    BOOST_TEST(receive_answer(router).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()
