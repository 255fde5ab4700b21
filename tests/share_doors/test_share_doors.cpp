#include "../shares/shares_model.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using tests::background;
using tests::demand;
using tests::shares_model;

namespace
{

/// Engines do 1,200 requests a second, 7.2 million tokens.
const tests::shares_model_options large_fleet{.routers = 60,
                                              .engines = 75,
                                              .slots = 16,
                                              .service_time = 1000ms,
                                              .configured_tokens_per_second = 2e6,
                                              .digest_period = 500ms};

/// A workspace at all routers floods beside five at one router each, whose VMs have processor time
/// for 75 requests a second.
std::vector<demand> floods_at_small_vms()
{
    auto demands = background(2);
    demands.push_back(
        {.workspace = "at_all_routers", .routers = 60, .rates = {{0ms, 100}, {3000ms, 1500}}});
    for (int index = 0; index < 5; ++index)
    {
        demands.push_back({.workspace = "at_one_router" + std::to_string(index),
                           .routers = 1,
                           .rates = {{0ms, 40}, {3000ms, 150.0 * (index + 1)}},
                           .processor_limit = 75});
    }
    return demands;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(share_doors)

// Engines that are half empty are no way around the limits.
BOOST_AUTO_TEST_CASE(a_flood_at_all_routers_keeps_its_limit_beside_floods_at_small_vms)
{
    shares_model model(large_fleet, floods_at_small_vms());
    model.run_until(16s);

    BOOST_TEST(model.worst_fairness(16) >= 1);
    BOOST_TEST(model.worst_over_limit(6, 16) <= 1.1);
}

// Callers that find the listening socket closed are in no count.
BOOST_AUTO_TEST_CASE(a_workspace_whose_callers_find_the_door_closed_counts_as_waiting)
{
    auto demands = background(6);
    demands.push_back({.workspace = "at_one_router",
                       .routers = 1,
                       .rates = {{0ms, 20}, {4000ms, 130}},
                       .door_limit = 30});
    demands.push_back(
        {.workspace = "at_all_routers", .routers = 15, .rates = {{0ms, 36}, {3000ms, 900}}});
    shares_model model({.digest_period = 500ms}, demands);
    model.run_until(16s);

    BOOST_TEST(model.worst_fairness(16) >= 1);
}

BOOST_AUTO_TEST_SUITE_END()
