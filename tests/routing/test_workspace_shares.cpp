#include "libcaraway/routing/admission.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace caraway;
using namespace std::chrono_literals;
using routing::share_standing;
using routing::share_status;
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
        shares.record_demand(entry.id, entry.demanded, now - 2s);
        shares.record_served(entry.id, entry.served, now);
        shares.record_refused(entry.id, entry.demanded - entry.served,
                              routing::refusal_cause::other, now);
    }
    return shares;
}

/// All places of the engines are taken.
void fill_engines(workspace_shares& shares)
{
    shares.record_occupancy(1);
}

share_status admitted(workspace_shares& shares, const base::workspace_id& workspace)
{
    return shares.status(workspace, {.admitted = true}, now + 1ms);
}

share_status not_admitted(workspace_shares& shares, const base::workspace_id& workspace)
{
    return shares.status(workspace, {.admitted = false}, now + 1ms);
}

/// Slots of an engine with 32 slots that are open to a request with this status.
double open_slots(const share_status& status)
{
    const auto terms = routing::admit({.latency_target = 400ms}, status);
    return terms.blocked ? 0 : std::max(1.0, std::floor(32 * terms.slot_share));
}

/// Of 1,000 fresh requests of the workspace, those that may begin.
int admitted_of_thousand(workspace_shares& shares, const base::workspace_id& workspace)
{
    int count = 0;
    for (int request = 0; request < 1000; ++request)
    {
        count += shares.admits(workspace, false, 0.5, now + 1ms) ? 1 : 0;
    }
    return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(workspace_share_counts)

BOOST_AUTO_TEST_CASE(no_workspace_is_beyond_its_share_while_the_total_demand_fits)
{
    auto shares = make_shares();
    shares.record_demand(large, 3000, now);
    shares.record_served(large, 3000, now);
    shares.record_demand(small, 500, now);

    BOOST_TEST(shares.status(large, {}, now).share_used == 0);
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

    BOOST_TEST(shares.status(large, {}, now).share_used == 1.0);
    BOOST_TEST(shares.status(small, {}, now).share_used < 0.5);
}

BOOST_AUTO_TEST_CASE(two_workspaces_with_excess_demand_have_the_same_share)
{
    auto shares = make_shares();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 5000, now);
    shares.record_demand(small, 1000, now);
    shares.record_served(large, 1500, now);
    shares.record_served(third, 750, now);

    BOOST_TEST(shares.status(large, {}, now).share_used == 1.0);
    BOOST_TEST(shares.status(third, {}, now).share_used == 0.5);
}

BOOST_AUTO_TEST_CASE(the_workspace_that_was_served_least_may_begin_most)
{
    auto shares = make_shares();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 20000, now);
    shares.record_served(large, 4500, now);
    shares.record_served(third, 2250, now);
    fill_engines(shares);

    BOOST_TEST(shares.limit(third, now) > 0.0);
    BOOST_TEST(shares.limit(large, now) < shares.limit(third, now));
    BOOST_TEST(admitted_of_thousand(shares, large) < admitted_of_thousand(shares, third));
}

// Guards against shutting a workspace off at all routers for what it had before.
BOOST_AUTO_TEST_CASE(a_workspace_that_had_ten_times_as_much_as_another_may_still_begin)
{
    auto shares = make_shares();
    shares.record_demand(large, 50000, now);
    shares.record_demand(third, 20000, now);
    shares.record_served(large, 9000, now);
    shares.record_served(third, 900, now);
    fill_engines(shares);

    BOOST_TEST(admitted_of_thousand(shares, large) > 0);
    BOOST_TEST(open_slots(admitted(shares, large)) > 0);
}

// Guards against an unbounded gap to a workspace whose callers are all connected to one small VM
// that can carry no more load, while engines have free slots.
BOOST_AUTO_TEST_CASE(the_gap_to_a_workspace_that_a_processor_holds_back_is_bounded)
{
    auto shares = make_shares();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 5000, now);
    shares.record_demand(small, 100, now);
    shares.record_served(large, 3000, now);
    shares.record_served(third, 1800, now);
    shares.record_refused(large, 17000, routing::refusal_cause::other, now);
    shares.record_refused(third, 3200, routing::refusal_cause::processor, now);
    shares.record_occupancy(0.5);

    BOOST_TEST(shares.limit(large, now) <= 1.5 * 1800);
    BOOST_TEST(open_slots(not_admitted(shares, large)) == 0);
    BOOST_TEST(open_slots(admitted(shares, small)) == 32);
}

// A small backlogged workspace must not hide that one of two large ones was served more.
BOOST_AUTO_TEST_CASE(a_small_backlogged_workspace_does_not_change_the_order_of_two_large_ones)
{
    auto shares =
        make_shares_with(2'730'827, {{.id = large, .demanded = 32'430'091, .served = 1'792'587},
                                     {.id = third, .demanded = 12'366'737, .served = 1'361'526},
                                     {.id = small, .demanded = 40'185, .served = 15'677}});
    fill_engines(shares);

    BOOST_TEST(admitted(shares, third).share_used > 1);
    BOOST_TEST(shares.limit(third, now) > shares.limit(large, now));
    BOOST_TEST(admitted_of_thousand(shares, small) == 1000);
    BOOST_TEST(open_slots(admitted(shares, small)) == 32);
}

BOOST_AUTO_TEST_CASE(nothing_is_limited_while_all_demand_fits)
{
    auto shares = make_shares();
    shares.record_demand(large, 9000, now);
    shares.record_served(large, 9000, now);
    shares.record_occupancy(0.3);

    BOOST_TEST(std::isinf(shares.limit(large, now)));
    BOOST_TEST((not_admitted(shares, large).standing == share_standing::unlimited));
}

BOOST_AUTO_TEST_CASE(tokens_served_by_other_routers_count)
{
    auto shares = make_shares();
    shares.record_demand(large, 2000, now);
    shares.set_peer(
        base::node_id("b"),
        {{large, {.demanded = 18000, .served = 3000}}, {small, {.demanded = 1000, .served = 1000}}},
        now);

    BOOST_TEST(shares.status(large, {}, now).share_used == 1.0);
}

BOOST_AUTO_TEST_CASE(counts_of_an_unreachable_router_expire)
{
    auto shares = make_shares();
    shares.record_demand(large, 9000, now);
    shares.set_peer(base::node_id("b"), {{large, {.demanded = 0, .served = 4000}}}, now);
    BOOST_TEST(shares.status(large, {}, now).share_used == 1.0);

    BOOST_TEST(shares.status(large, {}, now + 4000ms).share_used == 0.0);
}

BOOST_AUTO_TEST_CASE(counts_leave_the_window)
{
    auto shares = make_shares();
    shares.record_demand(large, 9000, now);
    shares.record_served(large, 4000, now);
    BOOST_TEST(shares.status(large, {}, now + 3400ms).share_used == 1.0);

    shares.record_demand(large, 9000, now + 4100ms);
    BOOST_TEST(shares.status(large, {}, now + 4100ms).share_used == 0.0);
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
    fill_engines(shares);
    BOOST_TEST(shares.limit(large, now) == shares.limit(third, now));

    shares.retract_served(large, 1500, now + 600ms);

    BOOST_TEST(shares.status(large, {}, now + 600ms).share_used == 0.25);
    BOOST_TEST(shares.limit(large, now + 600ms) > shares.limit(third, now + 600ms));
    BOOST_TEST(shares.own_usages(now + 600ms)[large].served == 500.0);
    // The retraction leaves the window after the service; the sum must not become negative.
    BOOST_TEST(shares.own_usages(now + 4200ms)[large].served == 0.0);
}

BOOST_AUTO_TEST_CASE(refusals_count_for_a_second_and_leave_before_the_window)
{
    auto shares = make_shares();
    shares.record_demand(large, 3000, now);
    shares.record_refused(large, 1000, routing::refusal_cause::engines, now);
    shares.record_refused(large, 1500, routing::refusal_cause::other, now);
    shares.record_refused(large, 500, routing::refusal_cause::processor, now);

    const auto at_once = shares.own_usages(now + 900ms)[large];
    BOOST_TEST(at_once.refused == 3000.0);
    BOOST_TEST(at_once.held_by_engines == 1000.0);
    BOOST_TEST(at_once.held_by_processor == 500.0);
    BOOST_TEST(shares.own_usages(now + 1250ms)[large].refused == 1500.0);
    const auto later = shares.own_usages(now + 1500ms)[large];
    BOOST_TEST(later.refused == 0.0);
    BOOST_TEST(later.held_by_engines == 0.0);
    BOOST_TEST(later.held_by_processor == 0.0);
    BOOST_TEST(later.demanded == 3000.0);
}

// Engines serve 5.1 of the configured 8 million tokens, so both workspaces are within their share.
BOOST_AUTO_TEST_CASE(a_workspace_within_its_share_is_limited_while_engines_are_full)
{
    auto shares = make_shares_with(8e6, {{.id = large, .demanded = 6.09e6, .served = 0.8e6},
                                         {.id = small, .demanded = 2e6, .served = 0.35e6}});
    shares.record_demand(third, 1.73e6, now - 2s);
    shares.record_served(third, 0.12e6, now);
    shares.record_refused(third, 0.4e6, routing::refusal_cause::engines, now);
    fill_engines(shares);

    BOOST_TEST(admitted(shares, large).share_used < 1);
    BOOST_TEST(admitted_of_thousand(shares, third) > 900);
    BOOST_TEST(admitted_of_thousand(shares, large) < 750);
    BOOST_TEST(open_slots(admitted(shares, third)) == 32);
    BOOST_TEST(open_slots(not_admitted(shares, large)) < 24);
    BOOST_TEST(admitted(shares, third).largest_used() < admitted(shares, large).largest_used());
}

BOOST_AUTO_TEST_CASE(a_workspace_that_waits_no_longer_does_not_hold_the_others)
{
    auto shares = make_shares_with(1e6, {{.id = large, .demanded = 9e6, .served = 1.7e6}});
    shares.record_demand(third, 5e6, now);
    shares.record_served(third, 0.2e6, now);
    shares.record_refused(third, 4.4e6, routing::refusal_cause::processor, now);
    fill_engines(shares);
    BOOST_TEST(shares.limit(large, now) <= 1.5 * 0.2e6);

    shares.record_refused(large, 3e6, routing::refusal_cause::other, now + 1500ms);
    shares.record_served(large, 0.5e6, now + 1500ms);

    BOOST_TEST(shares.limit(third, now + 1501ms) > 1.5 * 0.2e6);
    BOOST_TEST((shares.status(large, {.admitted = false}, now + 1501ms).standing ==
                share_standing::beyond));
}

BOOST_AUTO_TEST_CASE(the_first_request_of_a_fleet_has_the_terms_of_a_workspace_within_its_share)
{
    auto shares = make_shares();
    shares.record_demand(large, 3000, now);

    BOOST_TEST(shares.admits(large, false, 0, now));
    BOOST_TEST(shares.status(large, {}, now).largest_used() == 0);
    BOOST_TEST(open_slots(shares.status(large, {}, now)) == 32);
}

BOOST_AUTO_TEST_CASE(nothing_is_limited_once_engines_are_nearly_empty)
{
    auto shares = make_shares_with(8e6, {{.id = large, .demanded = 6e6, .served = 0.5e6}});
    shares.record_demand(third, 1e6, now);
    fill_engines(shares);
    shares.record_refused(third, 0.4e6, routing::refusal_cause::engines, now);
    BOOST_TEST(!std::isinf(shares.limit(third, now)));

    shares.record_occupancy(0.05);

    BOOST_TEST(std::isinf(shares.limit(large, now + 3500ms)));
}

// Engines serve 2.7 times the configured tokens, and the least served workspace asks little.
BOOST_AUTO_TEST_CASE(a_workspace_that_no_processor_holds_back_holds_nobody)
{
    auto shares = make_shares_with(1e6, {{.id = large, .demanded = 9e6, .served = 1.7e6},
                                         {.id = third, .demanded = 5e6, .served = 0.6e6},
                                         {.id = small, .demanded = 0.7e6, .served = 0.1e6}});
    fill_engines(shares);

    BOOST_TEST(admitted(shares, third).share_used > 1);
    const double contended = std::floor(32 * routing::admission_options{}.slot_share_contended);
    BOOST_TEST(open_slots(admitted(shares, third)) == contended);
    BOOST_TEST(open_slots(not_admitted(shares, large)) == 0);
    BOOST_TEST(shares.limit(third, now) > 1.5 * 0.1e6);
}

BOOST_AUTO_TEST_CASE(a_small_workspace_that_a_processor_holds_back_holds_nobody)
{
    auto shares = make_shares_with(1e6, {{.id = large, .demanded = 9e6, .served = 1.7e6}});
    shares.record_demand(small, 0.1e6, now - 2s);
    shares.record_refused(small, 0.1e6, routing::refusal_cause::processor, now);
    fill_engines(shares);

    BOOST_TEST(shares.limit(large, now) > 0.1e6);
    BOOST_TEST((not_admitted(shares, large).standing == share_standing::beyond));
}

BOOST_AUTO_TEST_CASE(requests_refused_unread_count_as_asked_and_held_by_the_processor)
{
    auto shares = make_shares();
    shares.record_demand(large, 300, now);
    shares.record_demand(large, 500, now);
    shares.record_unread(large, now);
    shares.record_unread(third, now);

    BOOST_TEST(shares.own_usages(now)[large].demanded == 1200.0);
    BOOST_TEST(shares.own_usages(now)[large].held_by_processor == 400.0);
    BOOST_TEST(!shares.own_usages(now).contains(third));
}

BOOST_AUTO_TEST_CASE(a_clock_that_goes_back_changes_no_limit_to_nonsense)
{
    auto shares = make_shares();
    shares.record_demand(large, 20000, now);
    shares.record_served(large, 4000, now);
    fill_engines(shares);
    shares.record_occupancy(1);

    BOOST_TEST(shares.limit(large, now - 5s) > 0);
    BOOST_TEST(shares.limit(large, now + 200ms) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
