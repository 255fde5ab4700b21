#include "libcaraway/routing/entry/unseen_callers.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway::routing::entry;
using caraway::base::workspace_id;
using namespace std::chrono_literals;

namespace
{

const workspace_id flood("flood");
const workspace_id small("small");

/// A tick in which a quarter of the time shows nine callers of the one and one of the other.
unseen_callers::counts one_tick(unseen_callers& unseen)
{
    for (int each = 0; each < 9; ++each)
    {
        unseen.record_seen(flood);
    }
    unseen.record_seen(small);
    return unseen.advance(25ms, 75ms);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(callers_that_nobody_saw)

BOOST_AUTO_TEST_CASE(as_many_a_second_as_while_the_socket_was_open)
{
    unseen_callers unseen;
    for (int tick = 0; tick < 20; ++tick)
    {
        one_tick(unseen);
    }
    auto counts = one_tick(unseen);

    BOOST_TEST(counts[flood] == 27, boost::test_tools::tolerance(0.01));
    BOOST_TEST(counts[small] == 3, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(nobody_while_the_socket_is_open)
{
    unseen_callers unseen;
    unseen.record_seen(flood);

    BOOST_TEST(unseen.advance(100ms, 0ms).empty());
}

// Guards against a workspace that is forgotten just while its door is shut.
BOOST_AUTO_TEST_CASE(a_socket_that_stays_closed_goes_on_turning_callers_away)
{
    unseen_callers unseen;
    one_tick(unseen);
    double counted = 0;
    for (int tick = 0; tick < 5; ++tick)
    {
        counted += unseen.advance(0ms, 100ms)[flood];
    }

    BOOST_TEST(counted > 5 * 9);
}

BOOST_AUTO_TEST_CASE(a_moment_in_which_it_was_open_is_no_measure)
{
    unseen_callers unseen;
    unseen.record_seen(flood);

    BOOST_TEST(unseen.advance(1us, 100ms)[flood] <= 10);
}

BOOST_AUTO_TEST_CASE(negative_times_and_others_that_make_no_sense_count_nothing)
{
    unseen_callers unseen;
    unseen.record_seen(flood);

    BOOST_TEST(unseen.advance(-1s, 100ms).empty());
    BOOST_TEST(unseen.advance(100ms, -1s).empty());
    BOOST_TEST(unseen.advance(0ms, 100ms).empty());
}

BOOST_AUTO_TEST_SUITE_END()
