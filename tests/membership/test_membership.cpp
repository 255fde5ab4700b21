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
    return static_cast<std::size_t>(std::count_if(fleet.changes.begin(), fleet.changes.end(),
                                                  [&](const change& each)
                                                  { return each.what.current.state() == state; }));
}

/// Everyone but `node` sees it in this state.
bool all_see(virtual_fleet& fleet, std::size_t nodes, std::size_t node, member_state state)
{
    for (std::size_t observer = 0; observer < nodes; ++observer)
    {
        if (observer != node && fleet.seen(observer, node) != state)
        {
            return false;
        }
    }
    return true;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(failures)

// Symptom: slots stay held by a router that is gone. Sequence: a node is killed or frozen. Cause:
// it is not declared dead in time.
BOOST_AUTO_TEST_CASE(a_killed_or_frozen_node_is_dead_everywhere_soon)
{
    base::duration worst{};
    for (std::uint32_t seed = 1; seed <= 100; ++seed)
    {
        virtual_fleet fleet({.seed = seed});
        fleet.start(8);
        const auto since = fleet.now();
        seed % 2 == 0 ? fleet.kill(5) : fleet.freeze(5);
        BOOST_TEST(
            fleet.run_until([&] { return all_see(fleet, 8, 5, member_state::dead); }, 2500ms));
        worst = std::max(worst, fleet.now() - since);
    }
    BOOST_TEST_MESSAGE("dead everywhere after at most "
                       << std::chrono::duration<double>(worst).count() << " s, 100 runs of 8");
}

// Symptom: a router in good health loses its upstreams. Sequence: it stands still for less than the
// suspicion lasts. Cause: nobody hears the refutation.
BOOST_AUTO_TEST_CASE(a_short_stall_is_refuted)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
    {
        virtual_fleet fleet({.seed = seed});
        fleet.start(8);
        fleet.freeze(3);
        fleet.run_for(900ms);
        fleet.resume(3);
        BOOST_TEST(fleet.run_until([&] { return fleet.agrees(); }, 1s));
        fleet.run_for(5s);
        BOOST_TEST(count(fleet, member_state::dead) == 0U);
    }
}

// Symptom: after a long stall of one node others are thought dead. Sequence: it wakes up, and all
// that it had asked and suspected is long overdue. Cause: it takes its own stall for theirs.
BOOST_AUTO_TEST_CASE(a_frozen_node_comes_back_and_accuses_nobody)
{
    virtual_fleet fleet({.seed = 7});
    fleet.start(8);
    fleet.freeze(3);
    fleet.run_for(30s);
    BOOST_TEST(all_see(fleet, 8, 3, member_state::dead));
    fleet.changes.clear();
    fleet.resume(3);
    BOOST_TEST(fleet.run_until([&] { return fleet.agrees(); }, 2s));
    fleet.run_for(5s);
    BOOST_TEST(count(fleet, member_state::suspect) == 0U);
}

BOOST_AUTO_TEST_CASE(lost_datagrams_do_not_kill)
{
    virtual_fleet fleet({.seed = 3, .loss = 0.05});
    fleet.start(8);
    fleet.run_for(600s);
    BOOST_TEST(count(fleet, member_state::dead) == 0U);
    BOOST_TEST_MESSAGE("5 % loss, 8 nodes, 600 s: " << count(fleet, member_state::suspect)
                                                    << " suspicions seen, none led to a death");
}

// Symptom: two halves go on for ever beside each other, or bury each other's nodes again when they
// meet. Sequence: regions lose each other for minutes and rejoin. Cause: nobody looks for the dead;
// a death by hearsay is believed at once.
BOOST_AUTO_TEST_CASE(halves_find_each_other_after_a_partition)
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
        const auto since = fleet.now();
        BOOST_TEST(fleet.run_until([&] { return fleet.agrees(); }, 10s));
        BOOST_TEST_MESSAGE(nodes << " nodes agree "
                                 << std::chrono::duration<double>(fleet.now() - since).count()
                                 << " s after a partition");
        fleet.run_for(10s);
        BOOST_TEST(count(fleet, member_state::dead) == 0U);
    }
}

// Symptom: a fresh process is taken for the former one. Sequence: a node is killed and starts again
// at once; what its former life sent arrives late. Cause: lives are mixed up.
BOOST_AUTO_TEST_CASE(a_new_life_replaces_the_old_one_for_good)
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
        [&] { return fleet.at(0).find(old.id)->node == fleet.at(2).self() && fleet.agrees(); },
        2s));
    const membership::gossip late{.load = {.waiting = 999}, .updates = {stale}};
    fleet.at(0).receive(fleet.at(2).find(old.id)->details.peer, old, late, fleet.now());
    fleet.at(0).receive({"10.0.0.9", 1}, {base::node_id("router-4"), virtual_fleet::life_of(1000)},
                        late, fleet.now());
    BOOST_TEST((fleet.at(0).find(old.id)->node == fleet.at(2).self()));
    BOOST_TEST((fleet.seen(0, 2) == member_state::alive));
    BOOST_TEST(fleet.at(0).find(old.id)->load.waiting == 0U);
    fleet.run_for(5s);
    BOOST_TEST(fleet.agrees());
}

// Symptom: a restarted node is never let in. Sequence: its clock went back, so that its life is
// below the former one. Cause: it isn't told.
BOOST_AUTO_TEST_CASE(a_life_that_went_back_is_told)
{
    virtual_fleet fleet({.seed = 5});
    fleet.start(8);
    fleet.restart(2, 10);
    BOOST_TEST(fleet.run_until([&] { return !fleet.newer_lives.empty(); }, 3s));
    BOOST_TEST((fleet.newer_lives.front().incarnation == virtual_fleet::life_of(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(announcements)

BOOST_AUTO_TEST_CASE(joining_leaving_and_left_are_seen_by_all)
{
    virtual_fleet fleet({.seed = 2});
    fleet.start(7);
    fleet.add(1000);
    BOOST_TEST(fleet.run_until([&] { return all_see(fleet, 8, 7, member_state::joining); }, 2s));
    BOOST_TEST(fleet.at(0).alive().size() == 7U);
    fleet.at(7).set_ready(fleet.now());
    BOOST_TEST(fleet.run_until([&] { return all_see(fleet, 8, 7, member_state::alive); }, 1s));
    fleet.at(7).set_leaving(fleet.now());
    BOOST_TEST(fleet.run_until([&] { return all_see(fleet, 8, 7, member_state::leaving); }, 1s));
    fleet.at(7).set_left(fleet.now());
    fleet.act(7);
    fleet.kill(7);
    BOOST_TEST(fleet.run_until([&] { return all_see(fleet, 8, 7, member_state::left); }, 1s));
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
        const auto since = fleet.now();
        BOOST_TEST(fleet.run_until([&] { return fleet.configurations.size() >= nodes - 1; }, 5s));
        BOOST_TEST_MESSAGE(nodes << " nodes know of a configuration after "
                                 << std::chrono::duration<double>(fleet.now() - since).count()
                                 << " s");
        for (const auto& each : fleet.configurations)
        {
            BOOST_TEST((each.version == base::config_version{9} && each.hash == hash));
        }
        // Those that do not get it are reminded; those that have it are not.
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
        fleet.at(node).count_up(77, 10s, fleet.now());
        fleet.run_for(1s);
    }
    for (std::size_t node = 0; node < 8; ++node)
    {
        BOOST_TEST(fleet.at(node).entries().count(77, fleet.now()) == 3U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
