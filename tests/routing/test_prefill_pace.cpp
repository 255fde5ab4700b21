#include "libcaraway/routing/engines/prefill_pace.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::engines::prefill_pace;

namespace
{

const base::time_point start(1h);
const base::upstream_id engine("e1");
const base::upstream_id other("e2");

void record_samples(prefill_pace& pace, const base::upstream_id& id, double ms_per_token, int count,
                    base::time_point now)
{
    for (int number = 0; number < count; ++number)
    {
        const auto prefill = std::chrono::duration<double, std::milli>(4000 * ms_per_token);
        pace.record_prefill(id, 0, 4000, 25ms + std::chrono::duration_cast<base::duration>(prefill),
                            now);
        pace.refresh(now);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(prefill_paces)

// The speed of a deployment's engines is not known in advance: two speeds, both far from the
// initial estimate, have to be learned.
BOOST_AUTO_TEST_CASE(the_prefill_pace_of_an_engine_is_learned)
{
    for (const double actual : {0.006, 0.06})
    {
        prefill_pace pace;
        record_samples(pace, engine, actual, 40, start);
        BOOST_TEST(pace.ms_per_token(engine) == actual, boost::test_tools::tolerance(0.1));
    }
}

BOOST_AUTO_TEST_CASE(an_engine_without_samples_is_assumed_to_be_average)
{
    prefill_pace pace;
    record_samples(pace, engine, 0.06, 40, start);

    BOOST_TEST(pace.ms_per_token(other) == 0.06, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(an_engine_that_slows_down_is_detected_within_seconds)
{
    prefill_pace pace;
    record_samples(pace, engine, 0.02, 40, start);
    record_samples(pace, engine, 0.08, 20, start + 10s);

    BOOST_TEST(pace.ms_per_token(engine) > 0.04);
}

BOOST_AUTO_TEST_CASE(records_of_peers_count_until_they_expire)
{
    prefill_pace here;
    prefill_pace there;
    record_samples(there, engine, 0.05, 40, start);
    here.set_peer(base::node_id("there"), there.own_records(start), start);
    here.refresh(start);

    BOOST_TEST(here.ms_per_token(engine) == 0.05, boost::test_tools::tolerance(0.1));
    here.refresh(start + 30s);
    BOOST_TEST(here.ms_per_token(engine) < 0.03);
}

BOOST_AUTO_TEST_CASE(short_and_queued_prompts_are_ignored)
{
    prefill_pace pace;
    pace.record_prefill(engine, 0, 200, 300ms, start);
    pace.record_prefill(engine, 9000, 2000, 3s, start);

    BOOST_TEST(pace.own_records(start).empty());
}

// Guards against an engine that gets no prompts for seconds after one slow sample: a prompt queued
// behind one of another router, which is not reported yet, looks like slow prefill.
BOOST_AUTO_TEST_CASE(one_slow_sample_changes_the_pace_little)
{
    prefill_pace pace;
    record_samples(pace, engine, 0.02, 20, start);
    pace.record_prefill(engine, 0, 4000, 5s, start);
    pace.refresh(start);

    BOOST_TEST(pace.ms_per_token(engine) < 0.025);
}

BOOST_AUTO_TEST_SUITE_END()
