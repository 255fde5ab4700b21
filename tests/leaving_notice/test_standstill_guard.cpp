#include "libcaraway/routing/standstill_guard.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

namespace
{

/// A guard at the first look for four seconds.
routing::standstill_guard after_standstill()
{
    routing::standstill_guard guard;
    guard.record_look(4s);
    return guard;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(standstill_guards)

BOOST_AUTO_TEST_CASE(looks_within_a_second_need_no_confirmation)
{
    routing::standstill_guard guard;
    guard.record_look(900ms);
    BOOST_TEST(!guard.is_waiting());
}

BOOST_AUTO_TEST_CASE(a_confirmation_ends_the_wait_after_a_standstill)
{
    auto guard = after_standstill();
    BOOST_TEST(guard.is_waiting());
    guard.record_confirmed();
    BOOST_TEST(!guard.is_waiting());
}

// A VM whose turns take most of a second reads no answer in the second that it is to wait.
BOOST_AUTO_TEST_CASE(a_late_turn_does_not_end_the_wait_before_an_answer_can_be_read)
{
    auto guard = after_standstill();
    guard.record_look(950ms);
    guard.record_look(950ms);
    BOOST_TEST(guard.is_waiting());
}

// While nobody reaches the store, no confirmation comes.
BOOST_AUTO_TEST_CASE(the_wait_ends_after_a_second_of_looks_without_a_confirmation)
{
    auto guard = after_standstill();
    for (int look = 1; look <= 10; ++look)
    {
        BOOST_TEST(guard.is_waiting());
        guard.record_look(100ms);
    }
    BOOST_TEST(!guard.is_waiting());
}

BOOST_AUTO_TEST_CASE(a_clock_that_goes_back_does_not_prolong_the_wait)
{
    auto guard = after_standstill();
    guard.record_look(-1h);
    for (int look = 1; look <= 10; ++look)
    {
        guard.record_look(100ms);
    }
    BOOST_TEST(!guard.is_waiting());
}

BOOST_AUTO_TEST_SUITE_END()
