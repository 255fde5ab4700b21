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

/// 1,000 tokens a second, 4,000 in a window.
workspace_shares make()
{
    workspace_shares shares({.window = 4000ms, .refresh_interval = 0ms});
    shares.set_capacity(1000);
    return shares;
}

/// Tokens that a workspace asked for and had in the window.
struct counted
{
    base::workspace_id id;
    double asked = 0;
    double served = 0;
};

/// Shares of so many tokens a window, as counted by one router.
workspace_shares with_counts(double window_tokens, const std::vector<counted>& of)
{
    workspace_shares shares({.window = 4000ms, .refresh_interval = 0ms});
    shares.set_capacity(window_tokens / 4);
    for (const auto& each : of)
    {
        shares.record_demand(each.id, each.asked, now);
        shares.record_served(each.id, each.served, now);
    }
    return shares;
}

/// Places of an engine of 32 slots on a workspace's terms.
double places(workspace_shares& shares, const base::workspace_id& of)
{
    const routing::route route{.latency_target = 400ms};
    const auto terms = routing::admit(route, shares.status(of, false, now + 1ms));
    return terms.blocked ? 0 : std::max(1.0, std::floor(32 * terms.slot_share));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(workspace_share_counts)

BOOST_AUTO_TEST_CASE(nobody_is_beyond_its_share_while_all_asks_fit)
{
    auto shares = make();
    shares.record_demand(large, 3000, now);
    shares.record_served(large, 3000, now);
    shares.record_demand(small, 500, now);

    BOOST_TEST(shares.share_used(large, now) == 0);
}

// Symptom: small workspaces' requests were refused while a large one had most of the engines.
// Sequence: the large workspace sent many times its usual; each router served who came first.
// Cause: what a workspace had already had didn't count.
BOOST_AUTO_TEST_CASE(a_flooding_workspace_is_due_what_the_others_leave)
{
    auto shares = make();
    shares.record_demand(large, 20000, now);
    shares.record_demand(small, 1000, now);
    shares.record_served(large, 3000, now);
    shares.record_served(small, 1000, now);

    BOOST_TEST(shares.share_used(large, now) == 1.0);
    BOOST_TEST(shares.share_used(small, now) < 0.5);
}

BOOST_AUTO_TEST_CASE(two_that_ask_too_much_are_due_the_same)
{
    auto shares = make();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 5000, now);
    shares.record_demand(small, 1000, now);
    shares.record_served(large, 1500, now);
    shares.record_served(third, 750, now);

    BOOST_TEST(shares.share_used(large, now) == 1.0);
    BOOST_TEST(shares.share_used(third, now) == 0.5);
}

BOOST_AUTO_TEST_CASE(who_is_ahead_is_measured_by_the_backlogged_workspace_that_had_least)
{
    auto shares = make();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 5000, now);
    shares.record_served(large, 4500, now);
    BOOST_TEST(shares.excess_ratio(third, now) == 0.0);
    shares.record_served(third, 2250, now + 100ms);

    BOOST_TEST(shares.excess_ratio(large, now + 100ms) == 2.0);
    BOOST_TEST(shares.excess_ratio(third, now + 100ms) == 1.0);
}

// Symptom: of two workspaces that asked for several times their share one got less than half of
// what the other got, for seconds. Sequence: the callers of the one all held on to a small VM that
// could carry no more; the other's came to sixty VMs, and engines had room. Cause: beyond its share
// a workspace got whatever idled, however little another had had.
BOOST_AUTO_TEST_CASE(the_gap_between_two_that_ask_too_much_is_bounded)
{
    auto shares = make();
    const routing::route route{.latency_target = 500ms};
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 5000, now);
    shares.record_demand(small, 100, now);
    shares.record_served(large, 3000, now);
    shares.record_served(third, 1800, now);

    const auto before = shares.status(large, false, now + 1ms);
    BOOST_TEST(before.excess_ratio == 3000.0 / 1800.0);
    BOOST_TEST(routing::admit(route, before).blocked);
    // A small workspace that waits for its first request is no measure.
    shares.record_served(third, 1000, now + 2ms);
    const auto after = shares.status(large, false, now + 2ms);
    BOOST_TEST(!routing::admit(route, after).blocked);
    BOOST_TEST(!routing::admit(route, shares.status(third, false, now + 2ms)).blocked);
}

// A small workspace that waits must not level two large ones that have had more or less.
BOOST_AUTO_TEST_CASE(a_small_workspace_that_waits_leaves_two_large_ones_in_their_order)
{
    auto shares = with_counts(2'730'827, {{.id = large, .asked = 32'430'091, .served = 1'792'587},
                                          {.id = third, .asked = 12'366'737, .served = 1'361'526},
                                          {.id = small, .asked = 40'185, .served = 15'677}});

    BOOST_TEST(shares.share_used(third, now + 1ms) > 1);
    BOOST_TEST(places(shares, third) > places(shares, large));
    BOOST_TEST(places(shares, small) == 32);
}

BOOST_AUTO_TEST_CASE(nobody_is_ahead_while_all_get_what_they_ask)
{
    auto shares = make();
    shares.record_demand(large, 9000, now);
    shares.record_served(large, 9000, now);

    BOOST_TEST(shares.excess_ratio(large, now) == 0.0);
}

BOOST_AUTO_TEST_CASE(what_other_routers_served_counts)
{
    auto shares = make();
    shares.record_demand(large, 2000, now);
    shares.set_peer(
        base::node_id("b"),
        {{large, {.demanded = 18000, .served = 3000}}, {small, {.demanded = 1000, .served = 1000}}},
        now);

    BOOST_TEST(shares.share_used(large, now) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_silent_router_is_forgotten)
{
    auto shares = make();
    shares.record_demand(large, 9000, now);
    shares.set_peer(base::node_id("b"), {{large, {.demanded = 0, .served = 4000}}}, now);
    BOOST_TEST(shares.share_used(large, now) == 1.0);

    BOOST_TEST(shares.share_used(large, now + 4000ms) == 0.0);
}

BOOST_AUTO_TEST_CASE(the_window_moves_on)
{
    auto shares = make();
    shares.record_demand(large, 9000, now);
    shares.record_served(large, 4000, now);
    BOOST_TEST(shares.share_used(large, now + 3400ms) == 1.0);

    shares.record_demand(large, 9000, now + 4100ms);
    BOOST_TEST(shares.share_used(large, now + 4100ms) == 0.0);
}

// Symptom: a flooding workspace got a third of what others got, though all were backlogged.
// Sequence: upstreams crashed and took its requests with them; rse-rotas scale-1, seed
// 126140505651: FAIR broken in 2 of 6 plays, 0 of 5 with what was lost given back.
// Cause: what had been sent counted as served, so it was kept from places for a window.
BOOST_AUTO_TEST_CASE(what_was_lost_with_an_upstream_is_no_service)
{
    auto shares = make();
    shares.record_demand(large, 20000, now);
    shares.record_demand(third, 20000, now);
    shares.record_served(large, 2000, now);
    shares.record_served(third, 2000, now);
    BOOST_TEST(shares.excess_ratio(large, now) == 1.0);

    shares.retract_served(large, 1500, now + 600ms);

    BOOST_TEST(shares.share_used(large, now + 600ms) == 0.25);
    BOOST_TEST(shares.excess_ratio(third, now + 600ms) == 4.0);
    BOOST_TEST(shares.own_usages(now + 600ms)[large].served == 500.0);
    // The loss leaves the window after the service: never less than nothing.
    BOOST_TEST(shares.own_usages(now + 4200ms)[large].served == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
