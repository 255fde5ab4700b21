#include "../users_platform/table_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace users_platform_tests;

BOOST_FIXTURE_TEST_SUITE(relayed_tables, fleet_fixture)

// Routers that start at the same time must not each read all tables from the store.
BOOST_AUTO_TEST_CASE(a_start_and_a_new_configuration_cause_few_calls_to_the_store)
{
    // Limit of the load on the store: 1,000 calls for 295 routers during the start and one minute.
    constexpr double calls_per_router = 1000.0 / 295;
    constexpr int fleet = 24;
    start_router("r1", false);
    BOOST_REQUIRE(becomes_true_paced([&] { return routers.front()->ready(); }));
    seeds = {routers.front()->options().control};
    for (int number = 2; number <= fleet; ++number)
    {
        start_router("r" + std::to_string(number), false);
    }
    const auto all_of_fleet = [&](const auto& predicate)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& router) { return predicate(*router); });
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
    BOOST_REQUIRE(becomes_true_paced(
        [&] { return all_of_fleet([](auto& router) { return router.ready(); }); }));
    wait_for(std::chrono::seconds(4));
    BOOST_TEST(calls() <= calls_per_router * fleet);
    BOOST_TEST(
        all_of_fleet([](auto& router) { return router.state()["peers"].size() == fleet - 1; }));

    const auto before = calls();
    accept_configuration(2, {{.prefix = "/b/"}});
    BOOST_REQUIRE(becomes_true_paced(
        [&] { return all_of_fleet([](auto& router) { return version(router) == 2; }); }));
    wait_for(std::chrono::seconds(1));
    BOOST_TEST(calls() - before <= fleet / 2);
}

BOOST_AUTO_TEST_SUITE_END()
