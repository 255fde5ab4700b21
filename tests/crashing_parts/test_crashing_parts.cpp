#include "crashing_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace crashing_part_tests;

namespace
{

/// When the fifth engine crashed under this part, or the last one if there were fewer.
caraway::base::time_point fifth_crash(const crashing_fleet& fleet, const std::string& part)
{
    std::vector<caraway::base::time_point> times;
    for (const auto& [cause, at] : fleet.crashes)
    {
        if (cause == part)
        {
            times.push_back(at);
        }
    }
    BOOST_REQUIRE(!times.empty());
    return times[std::min(times.size(), crashes_until_known) - 1];
}

constexpr auto time_to_judge = 10s;

}  // namespace

// Engines crash as soon as they begin an answer on one part of a prompt. No two of the requests
// with that part are alike, and sound requests share their caller and their other parts.

BOOST_FIXTURE_TEST_SUITE(crashing_parts, crashing_fleet)

BOOST_AUTO_TEST_CASE(a_part_between_others_that_crashes_engines_is_refused)
{
    start_routers(4);
    send_crashing("bad1", [this] { return parts{"aa00", "bad1", unique_part()}; });
    run_for(time_to_judge);
    check_rules_after("bad1", fifth_crash(*this, "bad1"));
    BOOST_TEST(refused_as_crashing() == 0);
}

BOOST_AUTO_TEST_CASE(a_part_in_first_place_that_crashes_engines_is_refused)
{
    start_routers(4);
    send_crashing("bad1", [this] { return parts{"bad1", document(), unique_part()}; });
    run_for(time_to_judge);
    check_rules_after("bad1", fifth_crash(*this, "bad1"));
    BOOST_TEST(refused_as_crashing() == 0);
}

BOOST_AUTO_TEST_CASE(two_parts_that_crash_engines_at_the_same_time_are_refused)
{
    start_routers(4);
    send_crashing("bad1", [this] { return parts{"aa00", "bad1", unique_part()}; });
    send_crashing("bad2", [this] { return parts{"bb00", "bad2", document(), unique_part()}; });
    run_for(time_to_judge + 1s);
    check_rules_after("bad1", fifth_crash(*this, "bad1"));
    check_rules_after("bad2", fifth_crash(*this, "bad2"));
    BOOST_TEST(refused_as_crashing() == 0);
}

BOOST_AUTO_TEST_CASE(a_part_that_crashes_engines_stays_refused_when_routers_are_replaced)
{
    start_routers(4);
    send_crashing("bad1", [this] { return parts{"aa00", "bad1", unique_part()}; });
    run_until_crashes(crashes_until_known);
    run_for(1500ms);
    for (int number = 5; number <= 7; ++number)
    {
        routers.erase(routers.begin() + 1);
        start_router("r" + std::to_string(number));
        run_for(1s);
    }
    run_for(5s);
    check_rules_after("bad1", fifth_crash(*this, "bad1"));
    BOOST_TEST(refused_as_crashing() == 0);
}

BOOST_AUTO_TEST_CASE(a_part_that_was_sound_before_is_refused_once_it_crashes_engines)
{
    start_routers(4);
    sources.push_back({.period = 250ms,
                       .make_parts = [this]
                       {
                           return parts{"aa00", "bad1", unique_part()};
                       }});
    run_for(2s);
    sources.pop_back();
    send_crashing("bad1", [this] { return parts{"aa00", "bad1", unique_part()}; });
    run_for(time_to_judge);
    check_rules_after("bad1", fifth_crash(*this, "bad1"));
    BOOST_TEST(refused_as_crashing() == 0);
}

BOOST_AUTO_TEST_CASE(no_part_is_refused_where_half_of_the_engines_lose_power_three_times)
{
    start_routers(4);
    for (int outage = 0; outage < 3; ++outage)
    {
        lose_power(6);
        run_for(4s);
    }
    BOOST_TEST(refused_as_crashing() == 0);
    BOOST_TEST(begun_share(clock.now() - 2s, clock.now() - 500ms) >= share_before / 2);
}

BOOST_AUTO_TEST_SUITE_END()
