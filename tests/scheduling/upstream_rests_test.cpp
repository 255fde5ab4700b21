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

BOOST_AUTO_TEST_CASE(rests_that_have_ended_are_removed)
{
    upstream_rests rests;
    rests.record(engine, 3000ms, start);
    rests.expire(start + 2900ms);
    BOOST_TEST(rests.size() == 1);
    rests.expire(start + 3s);
    BOOST_TEST(rests.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
