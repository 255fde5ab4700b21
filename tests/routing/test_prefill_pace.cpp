#include "libcaraway/routing/prefill_pace.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::prefill_pace;

namespace
{

const base::time_point now(1h);
const base::upstream_id engine("e1");
const base::upstream_id other("e2");

void read(prefill_pace& by, const base::upstream_id& id, double ms_per_token, int times,
          base::time_point at)
{
    for (int each = 0; each < times; ++each)
    {
        const auto reading = std::chrono::duration<double, std::milli>(4000 * ms_per_token);
        by.record_prefill(id, 0, 4000, 25ms + std::chrono::duration_cast<base::duration>(reading),
                          at);
        by.refresh(at);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(prefill_paces)

// Nothing of the deployments is known in advance: engines of two speeds, both far from the first
// guess, are told apart.
BOOST_AUTO_TEST_CASE(an_engines_pace_is_learned_whatever_it_is)
{
    for (const double pace : {0.006, 0.06})
    {
        prefill_pace by;
        read(by, engine, pace, 40, now);
        BOOST_TEST(by.ms_per_token(engine) == pace, boost::test_tools::tolerance(0.1));
    }
}

BOOST_AUTO_TEST_CASE(an_engine_that_nobody_saw_is_taken_for_a_usual_one)
{
    prefill_pace by;
    read(by, engine, 0.06, 40, now);

    BOOST_TEST(by.ms_per_token(other) == 0.06, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(an_engine_that_turns_slow_is_known_to_be_within_seconds)
{
    prefill_pace by;
    read(by, engine, 0.02, 40, now);
    read(by, engine, 0.08, 20, now + 10s);

    BOOST_TEST(by.ms_per_token(engine) > 0.04);
}

BOOST_AUTO_TEST_CASE(what_other_routers_saw_counts_as_own)
{
    prefill_pace here;
    prefill_pace there;
    read(there, engine, 0.05, 40, now);
    here.set_peer(base::node_id("there"), there.own_records(now), now);
    here.refresh(now);

    BOOST_TEST(here.ms_per_token(engine) == 0.05, boost::test_tools::tolerance(0.1));
    here.refresh(now + 30s);
    BOOST_TEST(here.ms_per_token(engine) < 0.03);
}

BOOST_AUTO_TEST_CASE(short_prompts_and_those_behind_others_say_nothing)
{
    prefill_pace by;
    by.record_prefill(engine, 0, 200, 300ms, now);
    by.record_prefill(engine, 9000, 2000, 3s, now);

    BOOST_TEST(by.own_records(now).empty());
}

// Symptom: an engine got no prompts for seconds after one of them had taken unusually long.
// Cause: a prompt that met another router's, not told of yet, counted as slow reading.
BOOST_AUTO_TEST_CASE(one_prompt_that_took_long_moves_the_pace_little)
{
    prefill_pace by;
    read(by, engine, 0.02, 20, now);
    by.record_prefill(engine, 0, 4000, 5s, now);
    by.refresh(now);

    BOOST_TEST(by.ms_per_token(engine) < 0.025);
}

BOOST_AUTO_TEST_SUITE_END()
