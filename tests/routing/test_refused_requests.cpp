#include "libcaraway/routing/refused_requests.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::refused_requests;
using routing::request_fingerprint;

namespace
{

const base::workspace_id flooding("flooding");
const base::workspace_id small("small");
const base::time_point now(1h);
constexpr request_fingerprint request{7};

}  // namespace

BOOST_AUTO_TEST_SUITE(returned_requests)

BOOST_AUTO_TEST_CASE(what_was_refused_is_known_for_as_long_as_callers_wait)
{
    refused_requests refused;
    BOOST_TEST(!refused.contains(request, now));
    refused.add(request, now);

    BOOST_TEST(refused.contains(request, now + 5s));
    BOOST_TEST(!refused.contains(request, now + 6s));
    refused.add(request_fingerprint{8}, now + 7s);
    BOOST_TEST(refused.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_peer_that_was_told_knows_it_too_and_tells_nobody)
{
    refused_requests here;
    refused_requests there;
    here.add(request, now);
    there.merge(here.recent_own(200ms, now + 100ms), now + 100ms);

    BOOST_TEST(there.contains(request, now + 1s));
    BOOST_TEST(there.recent_own(200ms, now + 100ms).empty());
    BOOST_TEST(here.recent_own(200ms, now + 200ms).empty());
}

// Symptom: a flooding workspace's answers were late though it got its whole share.
// Sequence: most of its requests were refused and came back a second later; what it was still due
// went to fresh and to returned ones alike, and those that returned are late before they begin.
// Cause: a returned request looked like a fresh one.
BOOST_AUTO_TEST_CASE(a_returned_request_stands_behind_the_fresh_ones_that_ask_for_the_whole_share)
{
    routing::workspace_shares shares({.window = 4000ms, .refresh_interval = 0ms});
    shares.set_capacity(1000);
    shares.record_demand(flooding, 20000, now);
    shares.record_served(flooding, 1000, now);
    shares.record_demand(small, 500, now);
    shares.record_served(small, 500, now);

    BOOST_TEST(shares.status(flooding, false, now).share_used < 1);
    BOOST_TEST(shares.status(flooding, true, now).share_used >= 1);
    BOOST_TEST(shares.status(flooding, true, now).excess_ratio > 0);
}

BOOST_AUTO_TEST_CASE(a_workspace_that_asks_less_than_its_share_may_return)
{
    routing::workspace_shares shares({.window = 4000ms, .refresh_interval = 0ms});
    shares.set_capacity(1000);
    shares.record_demand(flooding, 20000, now);
    shares.record_demand(small, 500, now);

    BOOST_TEST(shares.status(small, true, now).share_used < 1);
    BOOST_TEST(shares.status(small, true, now).excess_ratio == 0);
}

BOOST_AUTO_TEST_SUITE_END()
