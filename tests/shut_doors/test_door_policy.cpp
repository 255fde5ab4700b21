#include "door_model.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>

using shut_doors_tests::door_model;

namespace
{

/// New connections per tick that the VM carries.
constexpr double carried = 36;
/// Ticks of 100 ms.
constexpr double second = 10;

door_model::demand load(double factor)
{
    return {{"flood", factor * carried - 4}, {"small", 4}};
}

/// A workspace starts or stops a flood in every third second, and the processor is slow in every
/// tenth.
int longest_shut_seconds(unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    const std::array<std::string, 3> workspaces{"first", "second", "third"};
    door_model::demand callers{{"first", 8}, {"second", 8}, {"third", 8}};
    door_model vm;
    int row = 0;
    int longest = 0;
    for (int played = 0; played < 24; ++played)
    {
        if (unit(random) < 0.35)
        {
            const auto& workspace = workspaces[random() % workspaces.size()];
            const bool floods = unit(random) < 0.5;
            callers[workspace] = floods ? 20 * std::pow(32, unit(random)) : 2 + 10 * unit(random);
        }
        const bool is_slow = unit(random) < 0.1;
        const double slowness = is_slow ? 4 : 1;
        vm.set_capacity(door_model::usual_capacity / slowness);
        vm.run(callers, second);
        double asked = 0;
        for (const auto& [workspace, rate] : callers)
        {
            asked += rate;
        }
        const double goodput = vm.take_goodput();
        const bool is_shut = vm.is_on_time() && goodput < std::min(asked, carried / slowness) / 2;
        row = is_shut ? row + 1 : 0;
        longest = std::max(longest, row);
    }
    return longest;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(door_policies)

BOOST_AUTO_TEST_CASE(a_flooded_vm_serves_as_much_as_one_at_its_limit)
{
    door_model at_limit;
    at_limit.run(load(1), 5 * second);
    at_limit.take_goodput();
    at_limit.run(load(1), 10 * second);
    const double usual = at_limit.take_goodput();
    for (const double factor : {2, 4, 8, 16})
    {
        door_model vm;
        vm.run(load(factor), 5 * second);
        vm.take_goodput();
        vm.run(load(factor), 10 * second);
        BOOST_TEST(vm.take_goodput() >= 0.9 * usual, "at " << factor << " times the load");
    }
}

// Floods come and go, one while the processor is slow; each second in which the loop is on time.
BOOST_AUTO_TEST_CASE(a_door_does_not_stay_shut_while_the_loop_is_on_time)
{
    for (unsigned seed = 1; seed <= 100; ++seed)
    {
        BOOST_TEST(longest_shut_seconds(seed) <= 1, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(nobody_is_turned_away_half_a_second_after_a_flood)
{
    door_model vm;
    vm.run(load(8), 5 * second);
    vm.run(load(0.5), 0.5 * second);
    vm.take_turned_away();
    vm.run(load(0.5), 2 * second);
    BOOST_TEST(vm.take_turned_away() == 0);
}

BOOST_AUTO_TEST_CASE(a_flood_leaves_no_debt_for_the_next_one)
{
    door_model vm;
    vm.run(load(4), 5 * second);
    vm.take_goodput();
    vm.run(load(4), 5 * second);
    const double first = vm.take_goodput();
    vm.run(load(16), 2 * second);
    vm.run(load(0.3), 2 * second);
    vm.run(load(4), 1 * second);
    vm.take_goodput();
    vm.run(load(4), 5 * second);
    BOOST_TEST(vm.take_goodput() >= 0.9 * first);
}

BOOST_AUTO_TEST_SUITE_END()
