#include "table_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace users_platform_tests;

// Relay of the platform's tables to routers that don't poll the store.
BOOST_FIXTURE_TEST_SUITE(relayed_tables, table_fixture)

// The start of a fleet must not log a line for each router and upstream.
BOOST_AUTO_TEST_CASE(a_first_listing_of_upstreams_is_logged_in_one_line)
{
    constexpr int upstream_count = 30;
    for (int number = 3; number <= upstream_count; ++number)
    {
        store.put("servers", "i-" + std::to_string(number), second.entry("plain"));
    }
    start_router("r1");
    BOOST_REQUIRE(becomes_true([&] { return logged({"\"upstreams\"", "i-1,", "i-30,"}); }));
    BOOST_TEST(!logged({"\"event\":\"upstream\""}));

    add_upstream(first, "plain", "draining");
    BOOST_TEST(becomes_true([&] { return logged({"\"event\":\"upstream\"", "i-1"}); }));
}

// A router that waits for its peers at its start must not wait forever.
BOOST_AUTO_TEST_CASE(a_router_whose_seeds_are_unreachable_polls_the_store)
{
    seeds = {{.ip = "127.0.0.1", .port = 1}};
    auto& router = start_router("r1", false);

    BOOST_TEST(becomes_true([&] { return router.ready(); }));
}

// As above, with seeds that answer but have no tables themselves.
BOOST_AUTO_TEST_CASE(a_router_whose_seeds_have_no_tables_polls_the_store)
{
    stand_in_store unavailable_store(loop, timers);
    unavailable_store.unavailable = true;
    auto& empty_router = start_router_at(unavailable_store, "r1", false);
    seeds = {empty_router.options().control};
    auto& router = start_router("r2", false);

    BOOST_TEST(becomes_true([&] { return router.ready(); }));
}

// A removed route must not remain in use when the routers that poll the store are gone.
BOOST_AUTO_TEST_CASE(a_new_configuration_reaches_all_when_the_polling_routers_are_gone)
{
    for (int number = 1; number <= 7; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto polls_store = [](const auto& router)
    {
        return router->state()["asks_store"].template get<bool>();
    };
    const auto polling_routers = [&]
    {
        return std::count_if(routers.begin(), routers.end(), polls_store);
    };
    BOOST_REQUIRE(becomes_true([&] { return polling_routers() == 2; }));
    std::erase_if(routers, polls_store);
    accept_configuration(2, {{.prefix = "/b/"}});
    const auto accepted = clock.now();

    BOOST_REQUIRE(becomes_true(
        [&]
        {
            return std::all_of(routers.begin(), routers.end(),
                               [](const auto& router) { return version(*router) == 2; });
        }));
    // A leaving upstream keeps serving for this time, the shortest in which a change must reach all
    // routers.
    BOOST_TEST((clock.now() - accepted < routers.front()->options().leaving_notice));
}

// Guards against sixty routers calling the store sixty times as often as one router needs to. Also
// guards against a router that stops polling while its last call is in flight: that call failed, so
// the router treated the store as unreachable permanently and sent requests to a runner that had
// left.
BOOST_AUTO_TEST_CASE(two_routers_of_a_zone_poll_the_store_and_all_get_its_changes)
{
    add_upstream(second);
    for (int number = 1; number <= 6; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto polling_routers = [&]
    {
        return std::count_if(routers.begin(), routers.end(),
                             [](const auto& router)
                             { return router->state()["asks_store"].template get<bool>(); });
    };
    const auto all_have_upstreams = [&](const std::string& ids)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& router) { return usable_upstreams(*router) == ids; });
    };
    BOOST_REQUIRE(
        becomes_true([&] { return polling_routers() == 2 && all_have_upstreams("i-1 i-2 "); }));

    store.remove("servers", "i-2");
    BOOST_TEST(becomes_true([&] { return all_have_upstreams("i-1 "); }));
    add_upstream(second);
    BOOST_TEST(becomes_true([&] { return all_have_upstreams("i-1 i-2 "); }));
    store.unavailable = true;
    BOOST_TEST(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    BOOST_TEST(all_have_upstreams("i-1 i-2 "));
    store.unavailable = false;
    add_upstream(second, "plain", "draining");
    BOOST_TEST(becomes_true([&] { return all_have_upstreams("i-1 "); }));
}

// Guards against an overloaded router that sends full tables to all routers of its zone on each
// change.
BOOST_AUTO_TEST_CASE(routers_that_do_not_poll_the_store_get_only_changes)
{
    stand_in_runner third{loop, timers, "i-3"};
    for (int number = 1; number <= 6; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto all_have_upstreams = [&](const std::string& ids)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& router) { return usable_upstreams(*router) == ids; });
    };
    const auto copies = [&](bool partial)
    {
        const std::string part = partial ? "\"partial\":true" : "\"partial\":false";
        int count = 0;
        for (const auto& chunk : log_lines)
        {
            for (auto position = chunk.find(part); position != std::string::npos;
                 position = chunk.find(part, position + 1))
            {
                ++count;
            }
        }
        return count;
    };
    BOOST_REQUIRE(becomes_true([&] { return all_have_upstreams("i-1 "); }));
    add_upstream(second);
    BOOST_REQUIRE(becomes_true([&] { return all_have_upstreams("i-1 i-2 "); }));

    constexpr int rounds = 8;
    for (int round = 0; round < rounds; ++round)
    {
        add_upstream(third);
        BOOST_REQUIRE(becomes_true([&] { return all_have_upstreams("i-1 i-2 i-3 "); }));
        store.remove("servers", "i-3");
        BOOST_REQUIRE(becomes_true([&] { return all_have_upstreams("i-1 i-2 "); }));
    }

    // The first copy from each of the two polling routers is a full one.
    constexpr int relayed_routers = 4;
    BOOST_TEST(copies(false) <= 2 * relayed_routers);
    BOOST_TEST(copies(true) >= rounds * relayed_routers);
}

BOOST_AUTO_TEST_SUITE_END()
