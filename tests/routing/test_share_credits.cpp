#include "libcaraway/routing/shares/share_credits.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::shares::share_credits;

namespace
{

const base::workspace_id flooding("flooding");
const base::time_point now(1h);

/// Of 100 requests of a workspace that may begin a quarter of what it demands.
int admitted_of_hundred(share_credits& credits, bool returned)
{
    int count = 0;
    for (int request = 0; request < 100; ++request)
    {
        credits.record_arrival(flooding, 1000, now);
        count += credits.admits(flooding, returned, 40000, 10000, 0.5, now) ? 1 : 0;
    }
    return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(credits_of_shares)

BOOST_AUTO_TEST_CASE(the_part_that_a_workspace_may_begin_is_admitted)
{
    share_credits credits;
    const int count = admitted_of_hundred(credits, false);
    BOOST_TEST(count >= 24);
    BOOST_TEST(count <= 27);
}

BOOST_AUTO_TEST_CASE(all_begin_while_the_demand_is_below_the_limit)
{
    share_credits credits;
    for (int request = 0; request < 10; ++request)
    {
        credits.record_arrival(flooding, 1000, now);
        BOOST_TEST(credits.admits(flooding, false, 9000, 10000, 0, now));
    }
}

BOOST_AUTO_TEST_CASE(requests_that_come_back_begin_only_where_fresh_ones_leave_room)
{
    share_credits credits;
    admitted_of_hundred(credits, false);
    BOOST_TEST(admitted_of_hundred(credits, true) < 25);
}

// The processor refuses half of the requests before they are asked about.
BOOST_AUTO_TEST_CASE(what_does_not_get_as_far_takes_no_part_of_the_limit)
{
    share_credits credits;
    int count = 0;
    for (int request = 0; request < 100; ++request)
    {
        credits.record_arrival(flooding, 1000, now);
        credits.record_arrival(flooding, 1000, now);
        count += credits.admits(flooding, false, 40000, 20000, 0.5, now) ? 1 : 0;
    }
    BOOST_TEST(count == 100);
}

BOOST_AUTO_TEST_CASE(a_demand_that_grows_is_seen_before_it_fills_the_window)
{
    share_credits credits;
    for (auto at = 0ms; at < 300ms; at += 1ms)
    {
        credits.record_arrival(flooding, 1000, now + at);
    }
    BOOST_TEST(credits.growth(flooding, 300000, 4, now + 300ms) > 4);
    BOOST_TEST(credits.growth(flooding, 4000000, 4, now + 300ms) == 1);
    BOOST_TEST(credits.mean_tokens(flooding) == 1000, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_SUITE_END()
