#include "crashing_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace crashing_part_tests;

namespace
{

constexpr std::size_t engines_left = 4;
/// Streams a second that the engines left can serve: four at a time each, of 0.4 s.
constexpr double capacity_left = engines_left * 4 / 0.4;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engines_left_tests, crashing_fleet)

// Engines that crashed run nothing, so that they seem to have the most room, until their entries
// are gone.
BOOST_AUTO_TEST_CASE(callers_get_what_is_left_when_most_engines_have_crashed)
{
    start_routers(4);
    const auto crashed_at = clock.now();
    lose_power(engines.size() - engines_left);
    run_for(3500ms);

    const auto from = crashed_at + 200ms;
    const auto to = crashed_at + 2000ms;
    const auto seconds = std::chrono::duration<double>(to - from).count();
    const auto possible = std::min(static_cast<double>(sent(from, to)), capacity_left * seconds);
    BOOST_TEST_MESSAGE("begun " << begun(from, to) << " of " << sent(from, to) << ", possible "
                                << possible);
    BOOST_TEST(static_cast<double>(begun(from, to)) >= possible / 2);
}

BOOST_AUTO_TEST_SUITE_END()
