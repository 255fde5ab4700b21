#include "libcaraway/routing/row_follower.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::row_follower;

namespace
{

const base::time_point now(1h);

}  // namespace

BOOST_AUTO_TEST_SUITE(row_followers)

BOOST_AUTO_TEST_CASE(the_table_is_read_whole_before_changes_are_followed)
{
    row_follower follower;
    BOOST_TEST((follower.next(now).kind == row_follower::call_kind::read_all));

    follower.record_answer(7, now);

    BOOST_TEST((follower.next(now).kind == row_follower::call_kind::follow));
    BOOST_TEST(follower.next(now).after == 7);
}

// Guards against requests to a leaving upstream whose change was in the part of the history that
// the store discarded: a follower that continues from the newest revision would never see the
// change.
BOOST_AUTO_TEST_CASE(the_table_is_read_whole_again_when_its_history_is_gone)
{
    row_follower follower;
    follower.record_answer(7, now);

    follower.record_history_gone(now);

    BOOST_TEST((follower.next(now).kind == row_follower::call_kind::read_all));
}

BOOST_AUTO_TEST_CASE(the_backoff_after_failures_is_bounded)
{
    row_follower follower({.initial_backoff = 100ms, .max_backoff = 400ms});
    follower.record_answer(7, now);
    follower.record_failure(now);
    BOOST_TEST(follower.lost());
    BOOST_TEST((follower.next(now).not_before == now + 100ms));
    for (int failure = 0; failure < 50; ++failure)
    {
        follower.record_failure(now);
    }
    BOOST_TEST((follower.next(now).not_before == now + 400ms));

    follower.record_answer(8, now);
    BOOST_TEST(!follower.lost());
}

// Guards against a router that learns of a leaving upstream only 1.8 s after it can reach the store
// again: the call in flight at that moment must not be one that the store holds for 1.5 s.
BOOST_AUTO_TEST_CASE(calls_are_not_held_while_the_store_is_unreachable)
{
    row_follower follower({.hold = 1500ms});
    follower.record_answer(7, now);
    BOOST_TEST((follower.next(now).hold == 1500ms));

    follower.record_failure(now);

    BOOST_TEST((follower.next(now).hold == 0ms));
}

BOOST_AUTO_TEST_CASE(a_constantly_changing_table_is_polled_at_a_bounded_rate)
{
    row_follower follower({.gap = 350ms});
    follower.record_answer(7, now);

    BOOST_TEST((follower.next(now).not_before == now + 350ms));
}

// Guards against requesting changes from an older revision after a reply that was overtaken.
BOOST_AUTO_TEST_CASE(the_revision_never_decreases)
{
    row_follower follower;
    follower.record_answer(9, now);
    follower.record_answer(7, now);

    BOOST_TEST(follower.revision() == 9);
}

BOOST_AUTO_TEST_SUITE_END()
