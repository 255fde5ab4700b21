#include "flooded_vm.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace caraway::routing::entry;
using namespace std::chrono_literals;
using entry_tests::demand;
using entry_tests::flooded_vm;
using entry_tests::workspace_id;

namespace
{

const std::vector<std::string> small_ones{"small-1", "small-2", "small-3", "small-4"};

/// Four small workspaces, and floods of the given number of requests per tick.
demand small_beside(const demand& floods)
{
    auto requests = floods;
    for (const auto& name : small_ones)
    {
        requests[name] = 0.3;
    }
    return requests;
}

double total_served(const std::map<std::string, flooded_vm::counts>& counts)
{
    double sum = 0;
    for (const auto& [unused, each] : counts)
    {
        sum += each.served;
    }
    return sum;
}

void record(workspace_parts& parts, const char* workspace, double asked, double admitted)
{
    parts.record_asked(workspace_id(workspace), asked);
    parts.record_admitted(workspace_id(workspace), admitted);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(workspaces_at_a_flooded_vm)

// The VM carries about ten requests per tick.
BOOST_AUTO_TEST_CASE(small_workspaces_are_served_beside_a_flood_of_ten_times)
{
    const auto requests = small_beside({{"flood", 100}});
    flooded_vm vm;
    flooded_vm by_lot(true);
    for (auto* each : {&vm, &by_lot})
    {
        each->run(requests, 100);
        each->take_counts();
        each->run(requests, 600);
    }
    auto counts = vm.take_counts();
    auto lot_counts = by_lot.take_counts();

    for (const auto& name : small_ones)
    {
        BOOST_TEST(counts[name].served_fraction() >= 0.9);
        BOOST_TEST(lot_counts[name].served_fraction() < 0.5);
    }
    BOOST_TEST(total_served(counts) >= 0.97 * total_served(lot_counts));
}

BOOST_AUTO_TEST_CASE(two_floods_get_equal_parts)
{
    const auto requests = small_beside({{"flood", 40}, {"larger", 120}});
    flooded_vm vm;
    vm.run(requests, 100);
    vm.take_counts();
    vm.run(requests, 600);
    auto counts = vm.take_counts();

    const auto ratio = counts["larger"].served / counts["flood"].served;
    BOOST_TEST(ratio >= 0.85);
    BOOST_TEST(ratio <= 1.18);
    for (const auto& name : small_ones)
    {
        BOOST_TEST(counts[name].served_fraction() >= 0.9);
    }
}

// What a workspace leaves of its part goes to those that ask for more.
BOOST_AUTO_TEST_CASE(what_a_workspace_leaves_of_its_part_is_used_by_a_flood)
{
    flooded_vm vm;
    flooded_vm alone;
    vm.run({{"flood", 100}, {"moderate", 2}}, 600);
    alone.run({{"flood", 100}}, 600);
    auto counts = vm.take_counts();

    BOOST_TEST(counts["moderate"].served_fraction() >= 0.9);
    BOOST_TEST(total_served(counts) >= 0.95 * total_served(alone.take_counts()));
}

BOOST_AUTO_TEST_CASE(small_workspaces_are_served_beside_a_flood_that_comes_and_goes)
{
    flooded_vm vm;
    for (int period = 0; period < 20; ++period)
    {
        vm.run(small_beside({{"flood", 100}}), 20);
        vm.run(small_beside({}), 20);
    }
    auto counts = vm.take_counts();

    for (const auto& name : small_ones)
    {
        BOOST_TEST(counts[name].served_fraction() >= 0.9);
    }
}

BOOST_AUTO_TEST_CASE(a_vm_that_keeps_up_admits_all)
{
    flooded_vm vm;
    vm.run({{"large", 4}, {"other", 1}}, 600);

    for (const auto& [name, counts] : vm.take_counts())
    {
        BOOST_TEST(counts.served == counts.asked, name);
    }
    BOOST_TEST(!vm.guard().overloaded());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(parts_of_workspaces)

BOOST_AUTO_TEST_CASE(a_workspace_is_within_its_part_until_it_asks_for_more_than_an_even_part)
{
    workspace_parts parts({.headroom = 1});
    record(parts, "flood", 1000, 50);
    record(parts, "other-flood", 500, 40);
    record(parts, "small", 10, 10);
    parts.advance(1us);

    BOOST_TEST(parts.level() == 45, boost::test_tools::tolerance(0.001));
    BOOST_CHECK(parts.standing(workspace_id("flood")) == part_standing::ahead);
    BOOST_CHECK(parts.standing(workspace_id("other-flood")) == part_standing::competing);
    BOOST_CHECK(parts.standing(workspace_id("small")) == part_standing::within);
    BOOST_CHECK(parts.standing(workspace_id("new")) == part_standing::within);
}

BOOST_AUTO_TEST_CASE(counts_are_forgotten)
{
    workspace_parts parts;
    record(parts, "flood", 1000, 10);
    parts.advance(1us);
    BOOST_CHECK(parts.standing(workspace_id("flood")) != part_standing::within);
    parts.advance(60s);

    BOOST_TEST(parts.size() == 0U);
    BOOST_CHECK(parts.standing(workspace_id("flood")) == part_standing::within);
}

BOOST_AUTO_TEST_CASE(amounts_that_are_no_work_are_ignored)
{
    workspace_parts parts;
    for (const auto work : {0.0, -1.0, std::numeric_limits<double>::infinity(),
                            std::numeric_limits<double>::quiet_NaN()})
    {
        record(parts, "odd", work, work);
    }
    parts.advance(-1s);
    parts.advance(0s);

    BOOST_TEST(parts.size() == 0U);
    BOOST_CHECK(parts.standing(workspace_id("odd")) == part_standing::within);
}

// Workspaces beyond the bound are counted as one, and take nothing from those that are counted.
BOOST_AUTO_TEST_CASE(thousands_of_workspaces_take_bounded_state)
{
    workspace_parts parts({.headroom = 1});
    record(parts, "small", 10, 10);
    for (int number = 0; number < 5000; ++number)
    {
        record(parts, ("flood-" + std::to_string(number)).c_str(), 100, 10);
    }
    parts.advance(1us);

    BOOST_TEST(parts.size() == workspace_parts_options{}.max_workspaces);
    BOOST_CHECK(parts.standing(workspace_id("small")) == part_standing::within);
    BOOST_CHECK(parts.standing(workspace_id("flood-4999")) != part_standing::within);
}

BOOST_AUTO_TEST_SUITE_END()
