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

base::upstream_id make_upstream(int number)
{
    return base::upstream_id("u" + std::to_string(number));
}

/// The process of an upstream ends: its connections are lost, and a new one is refused.
void crash(crash_tracker& tracker, int number, attempts::request_fingerprint request,
           base::time_point now = start)
{
    tracker.record_lost(make_upstream(number), request, {}, now);
    tracker.record_refused_connection(make_upstream(number), now + 50ms);
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
