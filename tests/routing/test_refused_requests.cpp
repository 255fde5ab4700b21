#include "libcaraway/routing/returns/refused_requests.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::returns::refused_requests;
using routing::returns::request_fingerprint;

namespace
{

const base::workspace_id flooding("flooding");
const base::workspace_id small("small");
const base::time_point now(1h);
constexpr request_fingerprint fingerprint{7};

}  // namespace

BOOST_AUTO_TEST_SUITE(resubmitted_requests)

BOOST_AUTO_TEST_CASE(a_refusal_is_remembered_for_as_long_as_callers_wait)
{
    refused_requests refused;
    BOOST_TEST(!refused.contains(fingerprint, now));
    refused.add(fingerprint, now);

    BOOST_TEST(refused.contains(fingerprint, now + 5s));
    BOOST_TEST(!refused.contains(fingerprint, now + 6s));
    refused.add(request_fingerprint{8}, now + 7s);
    BOOST_TEST(refused.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_peer_knows_refusals_from_digests_and_does_not_relay_them)
{
    refused_requests here;
    refused_requests there;
    here.add(fingerprint, now);
    there.merge(here.recent_own(200ms, now + 100ms), now + 100ms);

    BOOST_TEST(there.contains(fingerprint, now + 1s));
    BOOST_TEST(there.recent_own(200ms, now + 100ms).empty());
    BOOST_TEST(here.recent_own(200ms, now + 200ms).empty());
}

// Guards against treating resubmitted requests like fresh ones. Most requests of a flooding
// workspace were refused and sent again a second later, and its remaining share went to fresh and
// resubmitted requests alike. As resubmitted requests are late before they start, the workspace's
// answers were late although it got its whole share.
BOOST_AUTO_TEST_CASE(a_resubmitted_request_yields_to_fresh_ones_that_demand_the_whole_share)
{
    routing::workspace_shares shares({.window = 4000ms, .refresh_interval = 0ms});
    shares.set_capacity(1000);
    shares.record_demand(flooding, 20000, now);
    shares.record_served(flooding, 1000, now);
    shares.record_demand(small, 500, now);
    shares.record_served(small, 500, now);

    shares.record_occupancy(1);
    BOOST_TEST(shares.status(flooding, {.resubmitted = false}, now).share_used < 1);
    BOOST_TEST(shares.status(flooding, {.resubmitted = true}, now).share_used >= 1);
    // Fresh requests come first: those that came back get what these leave.
    int fresh = 0;
    int resubmitted = 0;
    for (int request = 0; request < 100; ++request)
    {
        fresh += shares.admits(flooding, false, 0.5, now) ? 1 : 0;
        resubmitted += shares.admits(flooding, true, 0.5, now) ? 1 : 0;
    }
    BOOST_TEST(fresh > 0);
    BOOST_TEST(resubmitted == 0);
}

BOOST_AUTO_TEST_CASE(requests_of_a_workspace_within_its_share_may_be_resubmitted)
{
    routing::workspace_shares shares({.window = 4000ms, .refresh_interval = 0ms});
    shares.set_capacity(1000);
    shares.record_demand(flooding, 20000, now);
    shares.record_demand(small, 500, now);

    BOOST_TEST(shares.status(small, {.resubmitted = true}, now).share_used < 1);
    BOOST_TEST(shares.admits(small, true, 0, now));
}

BOOST_AUTO_TEST_SUITE_END()
