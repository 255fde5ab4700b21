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

BOOST_AUTO_TEST_CASE(it_reads_all_then_follows)
{
    row_follower follower;
    BOOST_TEST((follower.next(now).kind == row_follower::call_kind::read_all));

    follower.record_answer(7, now);

    BOOST_TEST((follower.next(now).kind == row_follower::call_kind::follow));
    BOOST_TEST(follower.next(now).after == 7);
}

// Symptom: a router went on sending requests to an upstream that had said it was leaving.
// Sequence: the store dropped its history; the upstream's change stood in the part that was
// dropped. Cause: following went on from the newest revision.
BOOST_AUTO_TEST_CASE(with_its_history_gone_the_table_is_read_whole_again)
{
    row_follower follower;
    follower.record_answer(7, now);

    follower.record_history_gone(now);

    BOOST_TEST((follower.next(now).kind == row_follower::call_kind::read_all));
}

BOOST_AUTO_TEST_CASE(failures_are_spaced_and_the_space_is_bounded)
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

// Symptom: a router that had been cut off learnt of a leaving upstream 1.8 s after the cut had
// healed. Sequence: the call that was under way when the cut healed was one that the store holds
// for 1.5 s.
BOOST_AUTO_TEST_CASE(while_the_store_is_lost_calls_are_not_held)
{
    row_follower follower({.hold = 1500ms});
    follower.record_answer(7, now);
    BOOST_TEST((follower.next(now).hold == 1500ms));

    follower.record_failure(now);

    BOOST_TEST((follower.next(now).hold == 0ms));
}

BOOST_AUTO_TEST_CASE(a_table_that_changes_all_the_time_is_asked_for_at_bounded_intervals)
{
    row_follower follower({.gap = 350ms});
    follower.record_answer(7, now);

    BOOST_TEST((follower.next(now).not_before == now + 350ms));
}

// Symptom: after a reply that was overtaken, changes were asked for from an older revision.
BOOST_AUTO_TEST_CASE(the_revision_never_goes_back)
{
    row_follower follower;
    follower.record_answer(9, now);
    follower.record_answer(7, now);

    BOOST_TEST(follower.revision() == 9);
}

BOOST_AUTO_TEST_SUITE_END()
