#include "libcaraway/routing/crash_tracker.hpp"
#include "libcaraway/routing/digest.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;

namespace
{

const base::time_point start(1h);
const auto crashing_request = attempts::request_fingerprint{7};
const auto harmless_request = attempts::request_fingerprint{8};

attempts::upstream_incarnation make_upstream(int number,
                                             std::chrono::milliseconds process_start = 0ms)
{
    return {.id = base::upstream_id("u" + std::to_string(number)), .process_start = process_start};
}

/// The process of an upstream ends: its connections are lost, and a new one is refused.
void crash(crash_tracker& tracker, const attempts::upstream_incarnation& upstream,
           attempts::request_fingerprint request, base::time_point now = start)
{
    tracker.record_lost(upstream, request, {}, now);
    tracker.record_refused_connection(upstream, now + 50ms);
}

void crash(crash_tracker& tracker, int number, attempts::request_fingerprint request,
           base::time_point now = start)
{
    crash(tracker, make_upstream(number), request, now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_trackers)

// Guards against a request that crashes one upstream after another, and with each upstream all
// other requests there: its caller sends it again after each crash, and no router links the crashes
// to it.
BOOST_AUTO_TEST_CASE(a_request_that_crashed_three_upstreams_is_refused)
{
    crash_tracker tracker;
    BOOST_TEST(!tracker.has_suspects());
    crash(tracker, 1, crashing_request);
    crash(tracker, 2, crashing_request);
    BOOST_TEST(tracker.has_suspects());
    BOOST_TEST(!tracker.refuses(crashing_request, start));

    crash(tracker, 3, crashing_request);

    BOOST_TEST(tracker.refuses(crashing_request, start));
    BOOST_TEST(!tracker.refuses(harmless_request, start));
}

// Guards against refusing ordinary requests as crashing ones: several upstreams repeatedly reset
// answers while they keep running, and each lost connection is taken for a crash.
BOOST_AUTO_TEST_CASE(lost_connections_alone_are_no_crash)
{
    crash_tracker tracker;
    for (int number = 1; number <= 6; ++number)
    {
        tracker.record_lost(make_upstream(number), crashing_request, {}, start);
        tracker.record_lost(make_upstream(number), harmless_request, {}, start);
    }

    BOOST_TEST(!tracker.has_suspects());
}

BOOST_AUTO_TEST_CASE(a_completed_request_is_cleared)
{
    crash_tracker tracker;
    crash(tracker, 1, harmless_request);
    crash(tracker, 2, harmless_request);
    tracker.record_completed(harmless_request, start);
    crash(tracker, 3, harmless_request);

    BOOST_TEST(!tracker.refuses(harmless_request, start));
}

// Guards against each router losing three upstreams to the same request: its caller sends it to
// another router each time, and the routers do not share their suspects.
BOOST_AUTO_TEST_CASE(crashes_seen_by_several_routers_add_up)
{
    crash_tracker here;
    crash_tracker there;
    crash(here, 1, crashing_request);
    crash(here, 2, crashing_request);
    crash(there, 3, crashing_request);

    const auto received = decode(encode(digest{.suspects = here.entries(start)}));
    BOOST_REQUIRE(received.has_value());
    there.merge(received.value().suspects, start);

    BOOST_TEST(there.refuses(crashing_request, start));
    BOOST_TEST(!here.refuses(crashing_request, start));
}

// Guards against a request that crashes one upstream again and again: it starts again under its id,
// and only its first crash counts.
BOOST_AUTO_TEST_CASE(each_process_under_one_id_counts)
{
    crash_tracker tracker;
    crash(tracker, make_upstream(1, 100ms), crashing_request);
    crash(tracker, make_upstream(1, 200ms), crashing_request);
    BOOST_TEST(!tracker.refuses(crashing_request, start));

    crash(tracker, make_upstream(1, 300ms), crashing_request);

    BOOST_TEST(tracker.refuses(crashing_request, start));
}

BOOST_AUTO_TEST_CASE(a_crash_seen_by_several_routers_counts_once)
{
    crash_tracker here;
    crash_tracker there;
    for (const auto process_start : {100ms, 200ms})
    {
        crash(here, make_upstream(1, process_start), crashing_request);
        crash(there, make_upstream(1, process_start), crashing_request);
    }

    const auto received = decode(encode(digest{.suspects = here.entries(start)}));
    BOOST_REQUIRE(received.has_value());
    there.merge(received.value().suspects, start);
    BOOST_TEST(!there.refuses(crashing_request, start));

    crash(there, make_upstream(1, 300ms), crashing_request);
    BOOST_TEST(there.refuses(crashing_request, start));
}

// Routers of an earlier build send crashes without the starts of the processes.
BOOST_AUTO_TEST_CASE(a_crash_without_a_start_may_be_any_of_its_upstreams_crashes)
{
    crash_tracker here;
    crash(here, make_upstream(1, 100ms), crashing_request);
    crash(here, make_upstream(2, 100ms), crashing_request);
    crash_tracker earlier_build;
    crash(earlier_build, make_upstream(1), crashing_request);
    crash(earlier_build, make_upstream(2), crashing_request);

    here.merge(earlier_build.entries(start), start);
    BOOST_TEST(!here.refuses(crashing_request, start));
    earlier_build.merge(here.entries(start), start);
    BOOST_TEST(!earlier_build.refuses(crashing_request, start));

    crash(here, make_upstream(1, 300ms), crashing_request);
    BOOST_TEST(here.refuses(crashing_request, start));
}

BOOST_AUTO_TEST_CASE(a_start_under_the_same_id_shows_that_the_process_before_crashed)
{
    crash_tracker tracker;
    tracker.record_lost(make_upstream(1, 100ms), crashing_request, {}, start);
    BOOST_TEST(tracker.record_restarted(make_upstream(1, 200ms), start + 2s).size() == 1U);
    // What is lost at the new process is no crash by that.
    BOOST_TEST(!tracker.record_lost(make_upstream(1, 200ms), crashing_request, {}, start + 3s)
                    .has_value());
    BOOST_TEST(tracker.record_restarted(make_upstream(1, 200ms), start + 3s).empty());
}

BOOST_AUTO_TEST_CASE(a_refusal_expires)
{
    crash_tracker tracker;
    for (int number = 1; number <= 3; ++number)
    {
        crash(tracker, number, crashing_request);
    }

    BOOST_TEST(tracker.refuses(crashing_request, start + 299s));
    BOOST_TEST(!tracker.refuses(crashing_request, start + 301s));
}

BOOST_AUTO_TEST_SUITE_END()
