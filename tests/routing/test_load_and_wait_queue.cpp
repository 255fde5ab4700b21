#include "libcaraway/routing/admission.hpp"
#include "libcaraway/routing/engines/load_tracker.hpp"
#include "libcaraway/routing/returns/wait_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;
using namespace caraway::routing::engines;
using namespace caraway::routing::returns;

namespace
{

const base::time_point now(1h);
const base::upstream_id engine("e1");
const base::node_id peer("b");

}  // namespace

BOOST_AUTO_TEST_SUITE(load_trackers)

BOOST_AUTO_TEST_CASE(requests_of_this_router_and_of_peers_add_up)
{
    load_tracker tracker;
    tracker.record_start(engine, {.running = 1, .pending_prefill_tokens = 100, .held_tokens = 120});
    tracker.set_peer(
        peer, {{engine, {.running = 2, .pending_prefill_tokens = 50, .held_tokens = 70}}}, now);
    tracker.set_peer(
        peer, {{engine, {.running = 3, .pending_prefill_tokens = 60, .held_tokens = 80}}}, now);

    BOOST_TEST((tracker.total(engine) ==
                upstream_load{.running = 4, .pending_prefill_tokens = 160, .held_tokens = 200}));
}

BOOST_AUTO_TEST_CASE(tokens_are_not_pending_after_the_prefill)
{
    load_tracker tracker;
    tracker.record_start(engine, {.running = 1, .pending_prefill_tokens = 100, .held_tokens = 120});
    tracker.record_prefill_done(engine, 100);
    BOOST_TEST((tracker.total(engine) == upstream_load{.running = 1, .held_tokens = 120}));

    tracker.record_end(engine, {.running = 1, .held_tokens = 120});
    BOOST_TEST((tracker.total(engine) == upstream_load{}));
}

BOOST_AUTO_TEST_CASE(the_load_of_peers_is_the_sum_of_their_last_digests)
{
    load_tracker tracker;
    std::mt19937 random(5);
    std::map<base::node_id, upstream_loads> last;
    const auto upstream = [](unsigned number)
    {
        return base::upstream_id("e" + std::to_string(number));
    };
    for (int turn = 0; turn < 500; ++turn)
    {
        upstream_loads loads;
        for (auto left = random() % 6; left > 0; --left)
        {
            loads[upstream(static_cast<unsigned>(random() % 8))] = {
                .running = static_cast<std::uint32_t>(random() % 3),
                .pending_prefill_tokens = random() % 2,
                .held_tokens = random() % 2};
        }
        const base::node_id sender("r" + std::to_string(random() % 4));
        tracker.set_peer(sender, loads, now);
        last[sender] = loads;
        for (unsigned number = 0; number < 8; ++number)
        {
            upstream_load sum;
            for (const auto& [id, each] : last)
            {
                const auto found = each.find(upstream(number));
                sum += found == each.end() ? upstream_load{} : found->second;
            }
            BOOST_REQUIRE((tracker.total(upstream(number)) == sum));
        }
    }
}

// Guards against counting the last reported load of a crashed router indefinitely, which left
// engines half empty for as long as the router was remembered.
BOOST_AUTO_TEST_CASE(the_load_of_an_unreachable_router_expires)
{
    load_tracker tracker;
    tracker.set_peer(peer, {{engine, {.running = 30}}}, now);

    tracker.expire_peers(now + 1500ms);

    BOOST_TEST(tracker.total(engine).running == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(wait_queues)

BOOST_AUTO_TEST_CASE(orders_by_share_used_then_urgency_then_arrival)
{
    wait_queue queue;
    const base::workspace_id saturated("saturated");
    const base::workspace_id underserved("underserved");
    const auto first = queue.add({.workspace = saturated, .priority = 0, .arrived = now});
    const auto second = queue.add({.workspace = underserved, .priority = 1, .arrived = now + 2ms});
    const auto third = queue.add({.workspace = underserved, .priority = 0, .arrived = now + 3ms});
    const auto fourth = queue.add({.workspace = underserved, .priority = 0, .arrived = now + 1ms});

    const auto order = queue.order([&](const auto& id) { return id == saturated ? 1.5 : 0.2; });

    BOOST_TEST((order == std::vector{fourth, third, second, first}));
}

BOOST_AUTO_TEST_CASE(expired_requests_are_removed)
{
    wait_queue queue;
    const auto early = queue.add({.expires = now + 10ms});
    queue.add({.expires = now + 20ms});

    BOOST_TEST((queue.take_expired(now + 10ms) == std::vector{early}));
    BOOST_TEST(queue.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(admissions)

BOOST_AUTO_TEST_CASE(a_request_beyond_its_workspaces_limit_gets_no_slot)
{
    using routing::share_standing;
    const route request_route{.latency_target = 600ms};
    const auto terms = [&](double share_used, share_standing standing)
    {
        return admit(request_route, {.share_used = share_used, .standing = standing});
    };
    const auto at_par = terms(1.5, share_standing::admitted);
    const auto beyond = terms(1.5, share_standing::beyond);

    BOOST_TEST(terms(0.9, share_standing::admitted).slot_share == 1.0);
    BOOST_TEST(at_par.slot_share < terms(1.5, share_standing::unlimited).slot_share);
    BOOST_TEST(!at_par.blocked);
    BOOST_TEST(beyond.blocked);
    BOOST_TEST(terms(0.9, share_standing::beyond).blocked);
}

// Guards against refusing requests while engines have free slots. A quarter of the requests of a
// day without overload was refused, because service beyond a workspace's share counted against it
// although no other workspace was backlogged.
BOOST_AUTO_TEST_CASE(a_workspace_beyond_its_share_gets_slots_while_all_demands_fit)
{
    const route request_route{.latency_target = 600ms};

    BOOST_TEST(admit(request_route, {.share_used = 3}).slot_share ==
               admit(request_route, {.share_used = 1}).slot_share);
    BOOST_TEST(admit(request_route, {.share_used = 3}).slot_share > 0.8);
}

BOOST_AUTO_TEST_CASE(callers_refused_at_the_same_time_retry_at_different_times)
{
    const route request_route{.latency_target = 600ms};

    BOOST_TEST((retry_after(request_route, 2, 0.0) < retry_after(request_route, 2, 0.9)));
    BOOST_TEST((retry_after(request_route, 0.5, 0.5) < request_route.latency_target));
}

BOOST_AUTO_TEST_SUITE_END()
