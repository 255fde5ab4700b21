#include "libcaraway/routing/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::retry_budget;

namespace
{

const base::service_id service("dispatch");

int repeats_granted(retry_budget& ledger, base::time_point now)
{
    int granted = 0;
    while (ledger.take_retry(service, now))
    {
        ++granted;
    }
    return granted;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_budgets)

// Symptom: a service whose upstreams failed half of all calls got three times its usual load.
// Sequence: eight routers, each with the whole slack, repeated what failed.
// Cause: the slack is one for the whole fleet, and each router spent it.
BOOST_AUTO_TEST_CASE(all_routers_together_keep_to_the_budget)
{
    const base::time_point now(1h);
    constexpr int routers = 8;
    int granted = 0;
    for (int router = 0; router < routers; ++router)
    {
        retry_budget ledger({.ratio = 0.2, .slack = 56, .window = 10s, .usable_share = 1});
        ledger.set_router_count(routers);
        for (int request = 0; request < 100; ++request)
        {
            ledger.record_request(service, now);
        }
        granted += repeats_granted(ledger, now);
    }

    BOOST_TEST(granted == 0.2 * 800 + 56);
}

BOOST_AUTO_TEST_CASE(repeats_come_back_when_the_window_has_passed_them)
{
    base::time_point now(1h);
    retry_budget ledger({.ratio = 0, .slack = 5, .window = 10s, .usable_share = 1});
    BOOST_TEST(repeats_granted(ledger, now) == 5);

    BOOST_TEST(repeats_granted(ledger, now + 9999ms) == 0);
    BOOST_TEST(repeats_granted(ledger, now + 10s) == 5);
}

// Symptom: the fleet's repeats exceeded its budget while routers were cut from each other.
// Cause: each of the remaining routers took over the slack of those it no longer heard.
BOOST_AUTO_TEST_CASE(a_router_that_is_heard_no_more_leaves_its_part_of_the_slack_unspent)
{
    const base::time_point now(1h);
    retry_budget ledger({.ratio = 0, .slack = 40, .window = 10s, .usable_share = 1});
    ledger.set_router_count(8);
    ledger.set_router_count(1);

    BOOST_TEST(repeats_granted(ledger, now) == 5);
}

BOOST_AUTO_TEST_SUITE_END()
