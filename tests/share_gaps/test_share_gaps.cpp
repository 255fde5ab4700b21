#include "../shares/shares_model.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(share_gaps)

// All routers let a flood in at the same moment, once the counts of the window allow it again.
BOOST_AUTO_TEST_CASE(a_flood_that_comes_in_waves_does_not_starve_a_flood_at_one_router)
{
    auto demands = tests::background(6);
    demands.push_back(
        {.workspace = "at_one_router", .routers = 1, .rates = {{0ms, 20}, {5000ms, 300}}});
    demands.push_back(
        {.workspace = "at_all_routers", .routers = 15, .rates = {{0ms, 36}, {3000ms, 900}}});
    tests::shares_model model({.configured_tokens_per_second = 1e6}, demands);
    model.run_until(16s);

    BOOST_TEST(model.worst_fairness(16) >= 1);
}

// The one router has processor time for half of its flood; engines do 1.15 of 2 million tokens.
BOOST_AUTO_TEST_CASE(a_flood_at_all_routers_does_not_starve_one_whose_processor_is_at_its_limit)
{
    auto demands = tests::background(4);
    demands.push_back({.workspace = "at_one_router",
                       .routers = 1,
                       .rates = {{0ms, 6.5}, {4000ms, 65}},
                       .processor_limit = 30});
    demands.push_back(
        {.workspace = "at_all_routers", .routers = 15, .rates = {{0ms, 36}, {4000ms, 250}}});
    tests::shares_model model({}, demands);
    model.run_until(16s);

    BOOST_TEST(model.worst_fairness(16) >= 1);
}

BOOST_AUTO_TEST_SUITE_END()
