#include "libcaraway/routing/crash_tracker.hpp"
#include "libcaraway/routing/digest.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;

namespace
{

const base::time_point start(1h);
const auto culprit = attempts::request_fingerprint{7};
const auto neighbour = attempts::request_fingerprint{8};

base::upstream_id runner(int number)
{
    return base::upstream_id("u" + std::to_string(number));
}

/// The process is gone: its connections break, and a new one is refused.
void crash(crash_tracker& at, int number, attempts::request_fingerprint request,
           base::time_point now = start)
{
    at.record_lost(runner(number), request, now);
    at.record_unreachable(runner(number), now + 50ms);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_trackers)

// Symptom: one request took down upstream after upstream, and with each all that ran beside it.
// Sequence: it crashed one, was sent again by its caller, and crashed the next.
// Cause: nobody charged the crashes to it.
BOOST_AUTO_TEST_CASE(a_request_that_crashed_three_upstreams_is_refused)
{
    crash_tracker watch;
    BOOST_TEST(!watch.has_suspects());
    crash(watch, 1, culprit);
    crash(watch, 2, culprit);
    BOOST_TEST(watch.has_suspects());
    BOOST_TEST(!watch.refuses(culprit, start));

    crash(watch, 3, culprit);

    BOOST_TEST(watch.refuses(culprit, start));
    BOOST_TEST(!watch.refuses(neighbour, start));
}

// Symptom: ordinary requests were refused as if they had crashed upstreams.
// Sequence: several upstreams reset a part of their answers, again and again, and went on.
// Cause: broken connections were taken for crashes.
BOOST_AUTO_TEST_CASE(broken_connections_alone_are_no_crash)
{
    crash_tracker watch;
    for (int number = 1; number <= 6; ++number)
    {
        watch.record_lost(runner(number), culprit, start);
        watch.record_lost(runner(number), neighbour, start);
    }

    BOOST_TEST(!watch.has_suspects());
}

BOOST_AUTO_TEST_CASE(a_request_that_ran_to_its_end_is_cleared)
{
    crash_tracker watch;
    crash(watch, 1, neighbour);
    crash(watch, 2, neighbour);
    watch.record_completed(neighbour, start);
    crash(watch, 3, neighbour);

    BOOST_TEST(!watch.refuses(neighbour, start));
}

// Symptom: each router had to lose three upstreams of its own to the same request.
// Sequence: its caller sent it to another router each time. Cause: none told the others.
BOOST_AUTO_TEST_CASE(routers_add_up_what_they_saw)
{
    crash_tracker here;
    crash_tracker there;
    crash(here, 1, culprit);
    crash(here, 2, culprit);
    crash(there, 3, culprit);

    const auto told = decode(encode(digest{.suspects = here.entries(start)}));
    BOOST_REQUIRE(told.has_value());
    there.merge(told.value().suspects, start);

    BOOST_TEST(there.refuses(culprit, start));
    BOOST_TEST(!here.refuses(culprit, start));
}

BOOST_AUTO_TEST_CASE(a_refusal_ends)
{
    crash_tracker watch;
    for (int number = 1; number <= 3; ++number)
    {
        crash(watch, number, culprit);
    }

    BOOST_TEST(watch.refuses(culprit, start + 299s));
    BOOST_TEST(!watch.refuses(culprit, start + 301s));
}

BOOST_AUTO_TEST_SUITE_END()
