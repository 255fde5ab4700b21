#include "libcaraway/scheduling/upstream_rests.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using scheduling::upstream_rests;

namespace
{

const base::upstream_id engine("engine");
const base::time_point start(1h);

}  // namespace

BOOST_AUTO_TEST_SUITE(rests_of_upstreams)

BOOST_AUTO_TEST_CASE(a_rest_lasts_as_long_as_the_upstream_asked)
{
    upstream_rests rests;
    rests.record(engine, 3000ms, start);

    BOOST_TEST(rests.is_resting(engine, start));
    BOOST_TEST(rests.is_resting(engine, start + 2999ms));
    BOOST_TEST(!rests.is_resting(engine, start + 3000ms));
    BOOST_TEST(!rests.is_resting(base::upstream_id("other"), start));
    BOOST_TEST(rests.time_left(engine, start + 2000ms).count() == 1000);
    BOOST_TEST(rests.time_left(engine, start + 3000ms).count() == 0);
}

BOOST_AUTO_TEST_CASE(a_later_and_shorter_request_for_rest_does_not_end_an_earlier_one)
{
    upstream_rests rests;
    rests.record(engine, 3000ms, start);
    rests.record(engine, 500ms, start + 1s);

    BOOST_TEST(rests.is_resting(engine, start + 2900ms));
}

BOOST_AUTO_TEST_CASE(a_rest_is_extended_by_a_later_one)
{
    upstream_rests rests;
    rests.record(engine, 3000ms, start);
    rests.record(engine, 3000ms, start + 1s);

    BOOST_TEST(rests.is_resting(engine, start + 3900ms));
}

BOOST_AUTO_TEST_CASE(resting_upstreams_are_counted_until_the_end_of_their_rests)
{
    upstream_rests rests;
    rests.record(engine, 3000ms, start);
    rests.record(base::upstream_id("other"), 1000ms, start);

    BOOST_TEST(rests.resting_count(start) == 2);
    BOOST_TEST((rests.next_end(start) == start + 1s));
    BOOST_TEST(rests.resting_count(start + 1s) == 1);
    BOOST_TEST((rests.next_end(start + 1s) == start + 3s));
    BOOST_TEST(!rests.next_end(start + 3s));
}

// Guards against all requests that waited for an upstream being sent to it, and refused, at once.
BOOST_AUTO_TEST_CASE(an_upstream_whose_rest_has_ended_gets_one_request_as_a_trial)
{
    upstream_rests rests;
    rests.record(engine, 3000ms, start);
    const auto trial = start + 3500ms;
    BOOST_TEST(rests.may_send(engine, trial));
    rests.record_sent(engine, trial);

    BOOST_TEST(!rests.may_send(engine, trial + 50ms));
    BOOST_TEST(rests.may_send(engine, trial + 100ms));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_asks_for_another_rest_in_its_trial_rests_again)
{
    upstream_rests rests;
    rests.record(engine, 3000ms, start);
    const auto trial = start + 3500ms;
    rests.record_sent(engine, trial);
    rests.record(engine, 3000ms, trial + 1ms);

    BOOST_TEST(!rests.may_send(engine, trial + 200ms));
    BOOST_TEST(!rests.may_send(engine, trial + 3000ms));
    BOOST_TEST(rests.may_send(engine, trial + 3001ms));
}

BOOST_AUTO_TEST_CASE(an_upstream_is_due_for_a_trial_until_it_got_a_request)
{
    upstream_rests rests;
    rests.record(engine, 3000ms, start);
    rests.expire(start + 10s);
    rests.record_sent(engine, start + 10s);
    BOOST_TEST(!rests.may_send(engine, start + 10s));
    rests.expire(start + 11s);
    rests.record_sent(engine, start + 11s);
    BOOST_TEST(rests.may_send(engine, start + 11s));
}

BOOST_AUTO_TEST_SUITE_END()
