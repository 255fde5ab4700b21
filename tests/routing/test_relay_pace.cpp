#include "libcaraway/routing/entry/relay_pace.hpp"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using caraway::routing::entry::pause_after_events;

BOOST_AUTO_TEST_SUITE(relay_pace)

BOOST_AUTO_TEST_CASE(events_are_relayed_as_they_arrive_while_the_processor_keeps_up)
{
    BOOST_TEST((pause_after_events(false, 250ms) == 0ms));
}

BOOST_AUTO_TEST_CASE(a_router_at_its_limit_relays_later_events_together)
{
    BOOST_TEST((pause_after_events(true, 250ms) == 50ms));
    BOOST_TEST((pause_after_events(true, std::chrono::hours(1000000)) == 50ms));
}

BOOST_AUTO_TEST_CASE(pauses_are_well_below_the_gap_that_callers_allow)
{
    BOOST_TEST((pause_after_events(true, 60ms) == 15ms));
    BOOST_TEST((pause_after_events(true, 0ms) == 0ms));
    BOOST_TEST((pause_after_events(true, -5ms) == 0ms));
    BOOST_TEST((pause_after_events(true, std::chrono::milliseconds::max()) == 50ms));
    BOOST_TEST((pause_after_events(true, std::chrono::milliseconds::min()) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
