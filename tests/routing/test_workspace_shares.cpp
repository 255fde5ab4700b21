#include "libcaraway/routing/admission.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace caraway;
using namespace std::chrono_literals;
using routing::workspace_shares;

namespace
{

const base::workspace_id large("large");
const base::workspace_id small("small");
const base::workspace_id third("third");
const base::time_point now(1h);

/// Capacity of 1,000 tokens per second, which is 4,000 per window.
workspace_shares make_shares()
{
    workspace_shares shares({.window = 4000ms, .refresh_interval = 0ms});
    shares.set_capacity(1000);
    return shares;
}

/// Tokens of one workspace within the window.
struct workspace_tokens
{
    base::workspace_id id;
    double demanded = 0;
    double served = 0;
};

/// Shares with a capacity of `window_tokens` per window and the counts of one router.
workspace_shares make_shares_with(double window_tokens, const std::vector<workspace_tokens>& counts)
{
    workspace_shares shares({.window = 4000ms, .refresh_interval = 0ms});
    shares.set_capacity(window_tokens / 4);
    for (const auto& entry : counts)
    {
        shares.record_demand(entry.id, entry.demanded, now);
        shares.record_served(entry.id, entry.served, now);
        shares.record_refused(entry.id, entry.demanded - entry.served,
                              routing::refusal_cause::other, now);
    }
    return shares;
}

/// A second's worth of the demand of each workspace was refused.
void record_waiting(workspace_shares& shares, const std::vector<base::workspace_id>& ids)
{
    for (const auto& id : ids)
    {
        shares.record_refused(id, 5000, routing::refusal_cause::other, now);
    }
}

/// Slots of an engine with 32 slots that are open to a request of the workspace.
double open_slots(workspace_shares& shares, const base::workspace_id& workspace)
{
    const routing::route route{.latency_target = 400ms};
    const auto terms = routing::admit(route, shares.status(workspace, false, now + 1ms));
    return terms.blocked ? 0 : std::max(1.0, std::floor(32 * terms.slot_share));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(workspace_share_counts)

BOOST_AUTO_TEST_CASE(no_workspace_is_beyond_its_share_while_the_total_demand_fits)
{
    auto shares = make_shares();
    shares.record_demand(large, 3000, now);
    shares.record_served(large, 3000, now);
    shares.record_demand(small, 500, now);

    BOOST_TEST(shares.share_used(large, now) == 0);
}

// Guards against refusing requests of small workspaces while a large one uses most of the engines.
// It happened when a large workspace sent many times its usual load and routers served requests in
// order of arrival, without regard to what a workspace had already been served.
BOOST_AUTO_TEST_CASE(a_flooding_workspace_is_entitled_to_what_the_others_leave)
{
    auto shares = make_shares();
    shares.record_demand(large, 20000, now);
    shares.record_demand(small, 1000, now);
    shares.record_served(large, 3000, now);
    shares.record_served(small, 1000, now);

    BOOST_TEST(shares.share_used(large, now) == 1.0);
    BOOST_TEST(shares.share_used(small, now) < 0.5);
}

BOOST_AUTO_TEST_CASE(two_workspaces_with_excess_demand_have_the_same_share)
{
    auto shares = make_shares();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 5000, now);
    shares.record_demand(small, 1000, now);
    shares.record_served(large, 1500, now);
    shares.record_served(third, 750, now);

    BOOST_TEST(shares.share_used(large, now) == 1.0);
    BOOST_TEST(shares.share_used(third, now) == 0.5);
}

BOOST_AUTO_TEST_CASE(the_excess_ratio_refers_to_the_backlogged_workspace_served_least)
{
    auto shares = make_shares();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 5000, now);
    shares.record_served(large, 4500, now);
    record_waiting(shares, {large, third});
    BOOST_TEST(shares.excess_ratio(third, now) == 0.0);
    shares.record_served(third, 2250, now + 100ms);

    BOOST_TEST(shares.excess_ratio(large, now + 100ms) == 2.0);
    BOOST_TEST(shares.excess_ratio(third, now + 100ms) == 1.0);
}

// Guards against an unbounded gap between two workspaces that both demand several times their
// share. One of them was served less than half of what the other was, for seconds: its callers were
// all connected to one small VM that could carry no more load, while the other's callers used sixty
// VMs and engines had free slots. Beyond its share a workspace used any idle capacity, however
// little the other one had been served.
BOOST_AUTO_TEST_CASE(the_gap_between_two_workspaces_with_excess_demand_is_bounded)
{
    auto shares = make_shares();
    const routing::route route{.latency_target = 500ms};
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 5000, now);
    shares.record_demand(small, 100, now);
    shares.record_served(large, 3000, now);
    shares.record_served(third, 1800, now);
    record_waiting(shares, {large, third});

    const auto before = shares.status(large, false, now + 1ms);
    BOOST_TEST(before.excess_ratio == 3000.0 / 1800.0);
    BOOST_TEST(routing::admit(route, before).blocked);
    // A small workspace that waits for its first request does not affect the ratio.
    shares.record_served(third, 1000, now + 2ms);
    const auto after = shares.status(large, false, now + 2ms);
    BOOST_TEST(!routing::admit(route, after).blocked);
    BOOST_TEST(!routing::admit(route, shares.status(third, false, now + 2ms)).blocked);
}

// A small backlogged workspace must not hide that one of two large ones was served more.
BOOST_AUTO_TEST_CASE(a_small_backlogged_workspace_does_not_change_the_order_of_two_large_ones)
{
    auto shares =
        make_shares_with(2'730'827, {{.id = large, .demanded = 32'430'091, .served = 1'792'587},
                                     {.id = third, .demanded = 12'366'737, .served = 1'361'526},
                                     {.id = small, .demanded = 40'185, .served = 15'677}});

    BOOST_TEST(shares.share_used(third, now + 1ms) > 1);
    BOOST_TEST(open_slots(shares, third) > open_slots(shares, large));
    BOOST_TEST(open_slots(shares, small) == 32);
}

BOOST_AUTO_TEST_CASE(the_excess_ratio_is_zero_while_all_demand_is_served)
{
    auto shares = make_shares();
    shares.record_demand(large, 9000, now);
    shares.record_served(large, 9000, now);

    BOOST_TEST(shares.excess_ratio(large, now) == 0.0);
}

BOOST_AUTO_TEST_CASE(tokens_served_by_other_routers_count)
{
    auto shares = make_shares();
    shares.record_demand(large, 2000, now);
    shares.set_peer(
        base::node_id("b"),
        {{large, {.demanded = 18000, .served = 3000}}, {small, {.demanded = 1000, .served = 1000}}},
        now);

    BOOST_TEST(shares.share_used(large, now) == 1.0);
}

BOOST_AUTO_TEST_CASE(counts_of_an_unreachable_router_expire)
{
    auto shares = make_shares();
    shares.record_demand(large, 9000, now);
    shares.set_peer(base::node_id("b"), {{large, {.demanded = 0, .served = 4000}}}, now);
    BOOST_TEST(shares.share_used(large, now) == 1.0);

    BOOST_TEST(shares.share_used(large, now + 4000ms) == 0.0);
}

BOOST_AUTO_TEST_CASE(counts_leave_the_window)
{
    auto shares = make_shares();
    shares.record_demand(large, 9000, now);
    shares.record_served(large, 4000, now);
    BOOST_TEST(shares.share_used(large, now + 3400ms) == 1.0);

    shares.record_demand(large, 9000, now + 4100ms);
    BOOST_TEST(shares.share_used(large, now + 4100ms) == 0.0);
}

// Guards against counting requests lost in an upstream crash as service. A flooding workspace got a
// third of what others got, though all were backlogged: upstreams crashed while running its
// requests, and as these still counted as served, it was kept from slots for a whole window.
// Fairness (FAIR) was violated in 2 of 6 runs of rse-rotas scale-1 with seed 126140505651, and in 0
// of 5 runs in which lost requests were retracted.
BOOST_AUTO_TEST_CASE(requests_lost_with_an_upstream_do_not_count_as_served)
{
    auto shares = make_shares();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 20000, now);
    shares.record_served(large, 2000, now);
    shares.record_served(third, 2000, now);
    record_waiting(shares, {large, third});
    BOOST_TEST(shares.excess_ratio(large, now) == 1.0);

    shares.retract_served(large, 1500, now + 600ms);

    BOOST_TEST(shares.share_used(large, now + 600ms) == 0.25);
    BOOST_TEST(shares.excess_ratio(third, now + 600ms) == 4.0);
    BOOST_TEST(shares.own_usages(now + 600ms)[large].served == 500.0);
    // The retraction leaves the window after the service; the sum must not become negative.
    BOOST_TEST(shares.own_usages(now + 4200ms)[large].served == 0.0);
}

BOOST_AUTO_TEST_CASE(refusals_count_for_a_second_and_leave_before_the_window)
{
    auto shares = make_shares();
    shares.record_demand(large, 3000, now);
    shares.record_refused(large, 1000, routing::refusal_cause::engines, now);
    shares.record_refused(large, 2000, routing::refusal_cause::other, now);

    const auto at_once = shares.own_usages(now + 900ms)[large];
    BOOST_TEST(at_once.refused == 3000.0);
    BOOST_TEST(at_once.held_by_engines == 1000.0);
    const auto later = shares.own_usages(now + 1000ms)[large];
    BOOST_TEST(later.refused == 0.0);
    BOOST_TEST(later.held_by_engines == 0.0);
    BOOST_TEST(later.demanded == 3000.0);
}

// Engines serve 5.1 of the configured 8 million tokens, so both workspaces are within their share.
BOOST_AUTO_TEST_CASE(a_workspace_within_its_share_yields_while_engines_hold_one_served_less)
{
    auto shares = make_shares_with(8e6, {{.id = large, .demanded = 6.09e6, .served = 3.2e6},
                                         {.id = small, .demanded = 2e6, .served = 1.4e6}});
    shares.record_demand(third, 1.73e6, now);
    shares.record_served(third, 0.49e6, now);
    shares.record_refused(third, 0.4e6, routing::refusal_cause::engines, now);

    BOOST_TEST(shares.status(large, false, now + 1ms).share_used < 1);
    BOOST_TEST(open_slots(shares, third) == 32);
    BOOST_TEST(open_slots(shares, large) < 24);
    BOOST_TEST(shares.status(third, false, now + 1ms).largest_used() <
               shares.status(large, false, now + 1ms).largest_used());
}

BOOST_AUTO_TEST_CASE(a_workspace_that_waits_no_longer_does_not_hold_the_others)
{
    auto shares = make_shares_with(1e6, {{.id = large, .demanded = 9e6, .served = 1.7e6},
                                         {.id = third, .demanded = 5e6, .served = 0.6e6}});
    BOOST_TEST(open_slots(shares, large) == 0);

    shares.record_refused(large, 3e6, routing::refusal_cause::other, now + 1500ms);

    BOOST_TEST(shares.status(large, false, now + 1501ms).excess_ratio == 1);
}

BOOST_AUTO_TEST_CASE(the_first_request_of_a_fleet_has_the_terms_of_a_workspace_within_its_share)
{
    auto shares = make_shares();
    shares.record_demand(large, 3000, now);

    BOOST_TEST(shares.status(large, false, now).largest_used() == 0);
    BOOST_TEST(shares.status(large, false, now).yield == 0);
    BOOST_TEST(open_slots(shares, large) == 32);
}

BOOST_AUTO_TEST_CASE(no_workspace_yields_once_engines_hold_nothing)
{
    auto shares = make_shares_with(8e6, {{.id = large, .demanded = 6e6, .served = 3e6}});
    shares.record_demand(third, 1e6, now);
    shares.record_refused(third, 0.4e6, routing::refusal_cause::engines, now);
    BOOST_TEST(shares.status(large, false, now + 1ms).yield > 0);

    shares.status(large, false, now + 1001ms);
    shares.status(large, false, now + 2001ms);
    shares.status(large, false, now + 3001ms);

    BOOST_TEST(shares.status(large, false, now + 3002ms).yield == 0);
}

// Engines serve 2.7 times the configured tokens, and the least served workspace asks little.
BOOST_AUTO_TEST_CASE(below_what_engines_attain_the_least_served_workspace_holds_nobody)
{
    auto shares = make_shares_with(1e6, {{.id = large, .demanded = 9e6, .served = 1.7e6},
                                         {.id = third, .demanded = 5e6, .served = 0.6e6},
                                         {.id = small, .demanded = 0.7e6, .served = 0.1e6}});

    BOOST_TEST(shares.status(third, false, now + 1ms).share_used > 1);
    BOOST_TEST(open_slots(shares, third) == 20);
    BOOST_TEST(open_slots(shares, large) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
