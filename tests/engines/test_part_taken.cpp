#include "libcaraway/routing/engines/engine_view.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::engines::engine_view;

namespace
{

const base::upstream_id engine("i-1");
const routing::engine_capacity capacity{.slots = 20, .kv_tokens = 1'000'000};
/// Tokens that the engine is expected to read in a millisecond, without samples.
const double tokens_per_ms = 1 / routing::engines::prefill_pace_options{}.initial_ms_per_token;

double part_taken(const routing::engines::upstream_load& load)
{
    return engine_view().part_taken(capacity, engine, load, 100ms);
}

routing::engines::upstream_load unread(double milliseconds)
{
    const auto tokens = static_cast<std::uint64_t>(milliseconds * tokens_per_ms);
    return {.running = 2, .pending_prefill_tokens = tokens};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(parts_taken)

// Engines whose processor reads prompts all the time have slots left, and no room for more.
BOOST_AUTO_TEST_CASE(an_engine_that_reads_for_as_long_as_requests_may_wait_is_full)
{
    BOOST_TEST(part_taken(unread(0)) == 0.1);
    BOOST_TEST(std::abs(part_taken(unread(50)) - 0.5) < 0.01);
    BOOST_TEST(part_taken(unread(99)) > 0.95);
}

// One stalled engine doesn't make the others look full.
BOOST_AUTO_TEST_CASE(an_engine_that_stalls_counts_as_full_and_no_more)
{
    BOOST_TEST(part_taken(unread(60'000)) == 1.0);
}

// A service that no route uses any more has no latency target.
BOOST_AUTO_TEST_CASE(an_engine_without_a_bound_on_waiting_is_not_full_by_reading)
{
    const auto longest_wait = std::chrono::milliseconds::max();
    BOOST_TEST(engine_view().part_taken(capacity, engine, unread(50), longest_wait) == 0.1);
}

BOOST_AUTO_TEST_CASE(slots_memory_and_reading_count_by_whichever_is_most)
{
    BOOST_TEST(part_taken({.running = 15}) == 0.75);
    BOOST_TEST(part_taken({.running = 30}) == 1.5);
    BOOST_TEST(part_taken({.running = 1, .held_tokens = 900'000}) > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()
