#include "libcaraway/routing/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::retry_budget;

namespace
{

const base::service_id service("dispatch");

int take_all_retries(retry_budget& budget, base::time_point now)
{
    int granted = 0;
    while (budget.take_retry(service, now))
    {
        ++granted;
    }
    return granted;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_budgets)

// Guards against retries that triple the load of a service whose upstreams fail half of all calls:
// each of eight routers uses the whole slack, which is meant for the fleet as a whole.
BOOST_AUTO_TEST_CASE(all_routers_together_stay_within_the_budget)
{
    const base::time_point now(1h);
    constexpr int routers = 8;
    int granted = 0;
    for (int router = 0; router < routers; ++router)
    {
        retry_budget budget({.ratio = 0.2, .slack = 56, .window = 10s, .usable_share = 1});
        budget.set_router_count(routers);
        for (int request = 0; request < 100; ++request)
        {
            budget.record_request(service, now);
        }
        granted += take_all_retries(budget, now);
    }

    BOOST_TEST(granted == 0.2 * 800 + 56);
}

BOOST_AUTO_TEST_CASE(retries_are_available_again_after_the_window)
{
    base::time_point now(1h);
    retry_budget budget({.ratio = 0, .slack = 5, .window = 10s, .usable_share = 1});
    BOOST_TEST(take_all_retries(budget, now) == 5);

    BOOST_TEST(take_all_retries(budget, now + 9999ms) == 0);
    BOOST_TEST(take_all_retries(budget, now + 10s) == 5);
}

// Guards against exceeding the fleet's budget during a network partition: each router must not take
// over the slack of the peers that have become unreachable.
BOOST_AUTO_TEST_CASE(the_part_of_an_unreachable_router_in_the_slack_is_not_used)
{
    const base::time_point now(1h);
    retry_budget budget({.ratio = 0, .slack = 40, .window = 10s, .usable_share = 1});
    budget.set_router_count(8);
    budget.set_router_count(1);

    BOOST_TEST(take_all_retries(budget, now) == 5);
}

BOOST_AUTO_TEST_SUITE_END()
