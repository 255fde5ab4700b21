#define BOOST_TEST_MODULE membership
#include "virtual_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace caraway::tests;
using membership::member_state;

namespace
{

std::size_t count(const virtual_fleet& fleet, member_state state)
{
    return static_cast<std::size_t>(std::count_if(
        fleet.changes.begin(), fleet.changes.end(),
        [&](const change& entry) { return entry.transition.current.state() == state; }));
}

/// Whether all of the first `nodes` nodes except `node` itself see it in this state.
bool all_observe(virtual_fleet& fleet, std::size_t nodes, std::size_t node, member_state state)
{
    for (std::size_t observer = 0; observer < nodes; ++observer)
    {
        if (observer != node && fleet.observed_state(observer, node) != state)
        {
            return false;
        }
    }
    return true;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(failures)

// Guards against slots that stay held by a router that is gone: a node is killed or frozen, and is
// not declared dead in time.
BOOST_AUTO_TEST_CASE(a_killed_or_frozen_node_is_declared_dead_everywhere_in_time)
{
    base::duration worst{};
    for (std::uint32_t seed = 1; seed <= 100; ++seed)
    {
        virtual_fleet fleet({.seed = seed});
        fleet.start(8);
        const auto started_at = fleet.now();
        seed % 2 == 0 ? fleet.kill(5) : fleet.freeze(5);
        BOOST_TEST(
            fleet.run_until([&] { return all_observe(fleet, 8, 5, member_state::dead); }, 2500ms));
        worst = std::max(worst, fleet.now() - started_at);
    }
    BOOST_TEST_MESSAGE("dead everywhere after at most "
                       << std::chrono::duration<double>(worst).count() << " s, 100 runs of 8");
}

// Guards against a healthy router losing its upstreams: it is stalled for less than the suspicion
// timeout, but its refutation does not reach its peers.
BOOST_AUTO_TEST_CASE(a_short_stall_is_refuted)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
    {
        virtual_fleet fleet({.seed = seed});
        fleet.start(8);
        fleet.freeze(3);
        fleet.run_for(900ms);
        fleet.resume(3);
        BOOST_TEST(fleet.run_until([&] { return fleet.has_converged(); }, 1s));
        fleet.run_for(5s);
        BOOST_TEST(count(fleet, member_state::dead) == 0U);
    }
}

// Guards against false suspicions after a long stall: when the node resumes, all its probes and
// suspicions are long overdue, and it attributes its own stall to its peers.
BOOST_AUTO_TEST_CASE(a_resumed_node_suspects_nobody)
{
    virtual_fleet fleet({.seed = 7});
    fleet.start(8);
    fleet.freeze(3);
    fleet.run_for(30s);
    BOOST_TEST(all_observe(fleet, 8, 3, member_state::dead));
    fleet.changes.clear();
    fleet.resume(3);
    BOOST_TEST(fleet.run_until([&] { return fleet.has_converged(); }, 2s));
    fleet.run_for(5s);
    BOOST_TEST(count(fleet, member_state::suspect) == 0U);
}

BOOST_AUTO_TEST_CASE(lost_datagrams_cause_no_false_deaths)
{
    virtual_fleet fleet({.seed = 3, .loss = 0.05});
    fleet.start(8);
    fleet.run_for(600s);
    BOOST_TEST(count(fleet, member_state::dead) == 0U);
    BOOST_TEST_MESSAGE("5 % loss, 8 nodes, 600 s: " << count(fleet, member_state::suspect)
                                                    << " suspicions seen, none led to a death");
}

// Guards against two halves that never merge, or that declare each other's nodes dead when they
// reconnect: regions are partitioned for minutes and rejoin. The causes would be that dead nodes
// are not contacted any more, and that a death reported by a peer is accepted at once.
BOOST_AUTO_TEST_CASE(halves_rejoin_after_a_partition_without_false_deaths)
{
    for (const std::size_t nodes : {8U, 64U})
    {
        virtual_fleet fleet({.seed = 11});
        fleet.start(nodes);
        fleet.partition([](std::size_t node) { return static_cast<int>(node % 2); });
        fleet.run_for(180s);
        BOOST_TEST(fleet.at(0).alive().size() == nodes / 2);
        fleet.changes.clear();
        fleet.heal();
        const auto started_at = fleet.now();
        BOOST_TEST(fleet.run_until([&] { return fleet.has_converged(); }, 10s));
        BOOST_TEST_MESSAGE(nodes << " nodes agree "
                                 << std::chrono::duration<double>(fleet.now() - started_at).count()
                                 << " s after a partition");
        fleet.run_for(10s);
        BOOST_TEST(count(fleet, member_state::dead) == 0U);
    }
}

// Guards against confusing a new process with the former one: a node is killed and restarts at
// once, and messages of its former incarnation arrive late.
BOOST_AUTO_TEST_CASE(a_new_incarnation_replaces_the_old_one_for_good)
{
    virtual_fleet fleet({.seed = 5});
    fleet.start(8);
    const auto old = fleet.at(2).self();
    auto stale = membership::update_of(*fleet.at(0).find(old.id), true);
    stale.refutations += 100;
    stale.announced = membership::announced_state::leaving;
    fleet.restart(2, 2000);
    fleet.at(2).set_ready(fleet.now());
    BOOST_TEST(fleet.run_until(
        [&]
        { return fleet.at(0).find(old.id)->node == fleet.at(2).self() && fleet.has_converged(); },
        2s));
    const membership::gossip late{.load = {.waiting = 999}, .updates = {stale}};
    fleet.at(0).receive(fleet.at(2).find(old.id)->details.peer, old, late, fleet.now());
    fleet.at(0).receive({"10.0.0.9", 1},
                        {base::node_id("router-4"), virtual_fleet::incarnation_of(1000)}, late,
                        fleet.now());
    BOOST_TEST((fleet.at(0).find(old.id)->node == fleet.at(2).self()));
    BOOST_TEST((fleet.observed_state(0, 2) == member_state::alive));
    BOOST_TEST(fleet.at(0).find(old.id)->load.waiting == 0U);
    fleet.run_for(5s);
    BOOST_TEST(fleet.has_converged());
}

// Guards against a restarted node that is never admitted: its clock was set back, so its
// incarnation is below the former one, and the node is not notified of the higher one.
BOOST_AUTO_TEST_CASE(a_restart_with_a_lower_incarnation_is_reported)
{
    virtual_fleet fleet({.seed = 5});
    fleet.start(8);
    fleet.restart(2, 10);
    BOOST_TEST(fleet.run_until([&] { return !fleet.newer_incarnations.empty(); }, 3s));
    BOOST_TEST(
        (fleet.newer_incarnations.front().incarnation == virtual_fleet::incarnation_of(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(announcements)

BOOST_AUTO_TEST_CASE(joining_leaving_and_left_are_seen_by_all)
{
    virtual_fleet fleet({.seed = 2});
    fleet.start(7);
    fleet.add(1000);
    BOOST_TEST(
        fleet.run_until([&] { return all_observe(fleet, 8, 7, member_state::joining); }, 2s));
    BOOST_TEST(fleet.at(0).alive().size() == 7U);
    fleet.at(7).set_ready(fleet.now());
    BOOST_TEST(fleet.run_until([&] { return all_observe(fleet, 8, 7, member_state::alive); }, 1s));
    fleet.at(7).set_leaving(fleet.now());
    BOOST_TEST(
        fleet.run_until([&] { return all_observe(fleet, 8, 7, member_state::leaving); }, 1s));
    fleet.at(7).set_left(fleet.now());
    fleet.perform_actions(7);
    fleet.kill(7);
    BOOST_TEST(fleet.run_until([&] { return all_observe(fleet, 8, 7, member_state::left); }, 1s));
    fleet.run_for(10s);
    BOOST_TEST(count(fleet, member_state::suspect) == 0U);
    BOOST_TEST(count(fleet, member_state::dead) == 0U);
}

BOOST_AUTO_TEST_CASE(a_newer_configuration_is_known_everywhere_in_seconds)
{
    for (const std::size_t nodes : {8U, 400U})
    {
        virtual_fleet fleet({.seed = 4, .loss = 0.01});
        fleet.start(nodes);
        const std::string hash(64, 'e');
        fleet.at(1).set_own_configuration(base::config_version{9}, hash, fleet.now());
        const auto started_at = fleet.now();
        BOOST_TEST(fleet.run_until([&] { return fleet.configurations.size() >= nodes - 1; }, 5s));
        BOOST_TEST_MESSAGE(nodes << " nodes know of a configuration after "
                                 << std::chrono::duration<double>(fleet.now() - started_at).count()
                                 << " s");
        for (const auto& seen : fleet.configurations)
        {
            BOOST_TEST((seen.version == base::config_version{9} && seen.hash == hash));
        }
        // Nodes that have not applied the configuration are reminded; nodes that have applied it
        // are not.
        fleet.at(2).set_own_configuration(base::config_version{9}, hash, fleet.now());
        fleet.at(2).set_own_configuration(base::config_version{8}, "old", fleet.now());
        BOOST_TEST(
            (fleet.at(2).find(virtual_fleet::id(2))->configuration == base::config_version{9}));
        fleet.configurations.clear();
        fleet.run_for(3s);
        BOOST_TEST(fleet.configurations.size() >= nodes - 2);
    }
}

BOOST_AUTO_TEST_CASE(the_expiring_set_spreads)
{
    virtual_fleet fleet({.seed = 8});
    fleet.start(8);
    for (const std::size_t node : {1U, 2U, 3U})
    {
        fleet.at(node).increment(77, 10s, fleet.now());
        fleet.run_for(1s);
    }
    for (std::size_t node = 0; node < 8; ++node)
    {
        BOOST_TEST(fleet.at(node).entries().count(77, fleet.now()) == 3U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
