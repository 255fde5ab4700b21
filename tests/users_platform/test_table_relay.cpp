#include "table_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace users_platform_tests;

// How the platform's tables reach routers that don't ask the store.
BOOST_FIXTURE_TEST_SUITE(relayed_tables, table_fixture)

// Routers that start at one moment must not each read all tables from the store.
BOOST_FIXTURE_TEST_CASE(a_start_and_a_new_configuration_cost_the_store_few_calls, fleet_fixture)
{
    // 1,000 calls for 295 routers, the start and a minute: what is bearable.
    constexpr double calls_a_router = 1000.0 / 295;
    constexpr int fleet = 24;
    start_router("r1", false);
    BOOST_REQUIRE(comes_true([&] { return routers.front()->ready(); }));
    seeds = {routers.front()->options().control};
    for (int number = 2; number <= fleet; ++number)
    {
        start_router("r" + std::to_string(number), false);
    }
    const auto all = [&](const auto& holds)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& each) { return holds(*each); });
    };
    const auto calls = [&]
    {
        int sum = 0;
        for (const auto& [path, count] : store.calls)
        {
            sum += count;
        }
        return sum;
    };
    BOOST_REQUIRE(comes_true([&] { return all([](auto& each) { return each.ready(); }); }));
    wait_for(std::chrono::seconds(4));
    BOOST_TEST(calls() <= calls_a_router * fleet);
    BOOST_TEST(all([](auto& each) { return each.state()["peers"].size() == fleet - 1; }));

    const auto before = calls();
    accept(2, {{.prefix = "/b/"}});
    BOOST_REQUIRE(comes_true([&] { return all([](auto& each) { return version(each) == 2; }); }));
    wait_for(std::chrono::seconds(1));
    BOOST_TEST(calls() - before <= fleet / 2);
}

// A start must not fill the logs with a line for each router and upstream.
BOOST_AUTO_TEST_CASE(a_first_listing_of_upstreams_is_one_line)
{
    constexpr int all = 30;
    for (int number = 3; number <= all; ++number)
    {
        store.put("servers", "i-" + std::to_string(number), second.entry("plain"));
    }
    start_router("r1");
    BOOST_REQUIRE(becomes_true([&] { return logged({"\"upstreams\"", "i-1,", "i-30,"}); }));
    BOOST_TEST(!logged({"\"event\":\"upstream\""}));

    add(first, "plain", "draining");
    BOOST_TEST(becomes_true([&] { return logged({"\"event\":\"upstream\"", "i-1"}); }));
}

// A start that relies on others must not wait for them for good.
BOOST_AUTO_TEST_CASE(a_router_whose_seeds_are_gone_asks_the_store)
{
    seeds = {{.ip = "127.0.0.1", .port = 1}};
    auto& router = start_router("r1", false);

    BOOST_TEST(becomes_true([&] { return router.ready(); }));
}

// The same where they answer and know nothing themselves.
BOOST_AUTO_TEST_CASE(a_router_whose_seeds_know_nothing_asks_the_store)
{
    stand_in_store turns_away(loop, timers);
    turns_away.away = true;
    auto& ignorant = start_router_at(turns_away, "r1", false);
    seeds = {ignorant.options().control};
    auto& router = start_router("r2", false);

    BOOST_TEST(becomes_true([&] { return router.ready(); }));
}

// A dropped route must not go on working when the routers that ask the store are gone.
BOOST_AUTO_TEST_CASE(a_new_configuration_reaches_all_when_those_that_ask_are_gone)
{
    for (int number = 1; number <= 7; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto asks = [](const auto& each)
    {
        return each->state()["asks_store"].template get<bool>();
    };
    const auto asking = [&]
    {
        return std::count_if(routers.begin(), routers.end(), asks);
    };
    BOOST_REQUIRE(becomes_true([&] { return asking() == 2; }));
    std::erase_if(routers, asks);
    accept(2, {{.prefix = "/b/"}});
    const auto accepted = clock.now();

    BOOST_REQUIRE(becomes_true(
        [&]
        {
            return std::all_of(routers.begin(), routers.end(),
                               [](const auto& each) { return version(*each) == 2; });
        }));
    // As long as an upstream that leaves goes on serving: the shortest time in which changes must
    // have reached all.
    BOOST_TEST((clock.now() - accepted < routers.front()->options().leaving_notice));
}

// Symptom: sixty routers asked the store sixty times as often as one would have to.
// Then: a router sent requests to a runner that had left, and believed for good that the store was
// away; it had stopped asking while its last call was under way, and that call failed.
BOOST_AUTO_TEST_CASE(two_routers_of_a_zone_ask_the_store_and_all_know_what_changes)
{
    add(second);
    for (int number = 1; number <= 6; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto asking = [&]
    {
        return std::count_if(routers.begin(), routers.end(),
                             [](const auto& each)
                             { return each->state()["asks_store"].template get<bool>(); });
    };
    const auto all_use = [&](const std::string& ids)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& each) { return usable(*each) == ids; });
    };
    BOOST_REQUIRE(becomes_true([&] { return asking() == 2 && all_use("i-1 i-2 "); }));

    store.remove("servers", "i-2");
    BOOST_TEST(becomes_true([&] { return all_use("i-1 "); }));
    add(second);
    BOOST_TEST(becomes_true([&] { return all_use("i-1 i-2 "); }));
    store.away = true;
    BOOST_TEST(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    BOOST_TEST(all_use("i-1 i-2 "));
    store.away = false;
    add(second, "plain", "draining");
    BOOST_TEST(becomes_true([&] { return all_use("i-1 "); }));
}

// Guards against a busy router that hands whole tables to all of its zone at each change.
BOOST_AUTO_TEST_CASE(those_that_do_not_ask_the_store_are_told_only_what_changed)
{
    stand_in_runner third{loop, timers, "i-3"};
    for (int number = 1; number <= 6; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto all_use = [&](const std::string& ids)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& each) { return usable(*each) == ids; });
    };
    const auto copies = [&](bool partial)
    {
        const std::string part = partial ? "\"partial\":true" : "\"partial\":false";
        int count = 0;
        for (const auto& each : lines)
        {
            for (auto at = each.find(part); at != std::string::npos; at = each.find(part, at + 1))
            {
                ++count;
            }
        }
        return count;
    };
    BOOST_REQUIRE(becomes_true([&] { return all_use("i-1 "); }));
    add(second);
    BOOST_REQUIRE(becomes_true([&] { return all_use("i-1 i-2 "); }));

    constexpr int turns = 8;
    for (int turn = 0; turn < turns; ++turn)
    {
        add(third);
        BOOST_REQUIRE(becomes_true([&] { return all_use("i-1 i-2 i-3 "); }));
        store.remove("servers", "i-3");
        BOOST_REQUIRE(becomes_true([&] { return all_use("i-1 i-2 "); }));
    }

    // The first copy of each of the two that ask is whole.
    constexpr int others = 4;
    BOOST_TEST(copies(false) <= 2 * others);
    BOOST_TEST(copies(true) >= turns * others);
}

BOOST_AUTO_TEST_SUITE_END()
