#include "door_model.hpp"

#include <boost/test/unit_test.hpp>

using entry_tests::door_model;

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

BOOST_AUTO_TEST_CASE(a_door_does_not_stay_shut_once_the_loop_is_on_time_again)
{
    for (const double factor : {2, 4, 8})
    {
        door_model vm;
        vm.run(load(factor), 5 * second);
        vm.take_goodput();
        vm.run(load(factor), 5 * second);
        const double usual = vm.take_goodput();
        vm.set_capacity(door_model::usual_capacity / 5);
        vm.run(load(factor), 1 * second);
        vm.set_capacity(door_model::usual_capacity);
        vm.run(load(factor), 0.5 * second);
        vm.take_goodput();
        vm.run(load(factor), 1 * second);
        BOOST_TEST(vm.take_goodput() >= usual / 2, "at " << factor << " times the load");
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
