#include "libcaraway/routing/digest.hpp"
#include "libcaraway/routing/peer_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;

namespace
{

const base::time_point now(1h);
const base::zone_id zone("z1");
const endpoint self_address{.ip = "10.0.0.1", .port = 1};
const peer self{.id = base::node_id("self"), .zone = zone, .callers = self_address, .ready = true};
const peer stopping_self{.id = base::node_id("self"), .zone = zone, .callers = self_address};

double always_zero()
{
    return 0;
}

digest make_digest(const std::string& name, std::uint64_t incarnation = 1,
                   std::uint64_t sequence = 1)
{
    return {.sender = base::node_id(name),
            .incarnation = incarnation,
            .sequence = sequence,
            .zone = zone,
            .callers = {.ip = name, .port = 80},
            .datagrams = {.ip = name, .port = 81},
            .ready = true};
}

peer_table make_table()
{
    return {base::node_id("self"), zone};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_tables)

BOOST_AUTO_TEST_CASE(entry_points_are_reachable_and_ready_routers)
{
    auto peers = make_table();
    auto stopping = make_digest("c");
    stopping.ready = false;
    peers.record_digest(make_digest("b"), now);
    peers.record_digest(stopping, now);

    const auto entries = peers.entry_points(zone, self, now, always_zero);

    BOOST_TEST((entries == std::vector<endpoint>{self_address, {.ip = "b", .port = 80}}));
}

BOOST_AUTO_TEST_CASE(a_stopping_router_lists_only_the_others)
{
    auto peers = make_table();
    peers.record_digest(make_digest("b"), now);

    BOOST_TEST((peers.entry_points(zone, stopping_self, now, always_zero) ==
                std::vector<endpoint>{{.ip = "b", .port = 80}}));
}

// Guards against callers of a large fleet being sent to VMs that have been dead for many seconds.
BOOST_AUTO_TEST_CASE(in_a_fleet_of_hundreds_a_dead_router_is_listed_for_five_seconds_at_most)
{
    auto peers = make_table();
    for (int number = 0; number < 300; ++number)
    {
        peers.record_digest(make_digest("r" + std::to_string(number)), now);
    }
    const auto later = now + 5s;
    for (int number = 1; number < 300; ++number)
    {
        peers.record_digest(make_digest("r" + std::to_string(number), 1, 2), later);
    }
    const auto entries = peers.entry_points(zone, self, later, always_zero);
    BOOST_TEST(entries.size() == 64U);
    const endpoint dead{.ip = "r0", .port = 80};
    BOOST_TEST((std::find(entries.begin(), entries.end(), dead) == entries.end()));
}

BOOST_AUTO_TEST_CASE(an_unreachable_router_is_not_listed)
{
    auto peers = make_table();
    peers.record_digest(make_digest("b"), now);
    peers.record_digest(make_digest("c"), now + 500ms);
    peers.record_digest(make_digest("d"), now + 500ms);

    BOOST_TEST(peers.entry_points(zone, self, now + 700ms, always_zero).size() == 3);
}

// Guards against all callers of a zone connecting to one router that is isolated from the others.
// The isolated router received no more digests, considered all others dead and listed only itself.
BOOST_AUTO_TEST_CASE(an_isolated_router_lists_all_known_routers)
{
    auto peers = make_table();
    for (const auto* name : {"b", "c", "d"})
    {
        peers.record_digest(make_digest(name), now);
    }

    BOOST_TEST(peers.entry_points(zone, self, now + 2s, always_zero).size() == 4);
}

// Guards against routers with a tenth of a core reading requests a second late while larger ones
// are idle. Callers pick a listed router at random; small and large VMs were listed equally often,
// and callers of an overloaded zone, where all callers of a flooding workspace were, stayed in it.
BOOST_AUTO_TEST_CASE(a_small_vm_is_listed_less_often)
{
    auto peers = make_table();
    auto large = make_digest("b");
    large.capacity = 4;
    peers.record_digest(large, now);
    const auto entry_count = [&](double random_unit)
    {
        return peers.entry_points(zone, self, now, [=] { return random_unit; }).size();
    };

    BOOST_TEST(entry_count(0.2) == 2);
    BOOST_TEST(entry_count(0.3) == 1);
}

BOOST_AUTO_TEST_CASE(callers_of_an_overloaded_zone_are_sent_to_other_zones_too)
{
    peer_table peers(base::node_id("self"), zone, {.zone_overload_ratio = 1.5});
    auto overloaded = make_digest("b");
    overloaded.request_rate = 300;
    peers.record_digest(overloaded, now);
    for (const auto* name : {"c", "d", "e"})
    {
        auto other_zone_peer = make_digest(name);
        other_zone_peer.zone = base::zone_id("z2");
        other_zone_peer.request_rate = 20;
        peers.record_digest(other_zone_peer, now);
    }
    BOOST_TEST(peers.entry_points(zone, self, now, always_zero).size() == 5);

    overloaded.request_rate = 40;
    overloaded.sequence = 2;
    peers.record_digest(overloaded, now);
    BOOST_TEST(peers.entry_points(zone, self, now, always_zero).size() == 2);
}

// Guards against one router of 86 receiving a fifth of all requests and reading them seconds late.
// A flooding workspace's callers kept using their connections to the router; callers close a
// connection only when its address is missing from a new list.
BOOST_AUTO_TEST_CASE(an_overloaded_router_is_not_listed_while_others_have_capacity)
{
    auto peers = make_table();
    auto overloaded = make_digest("b");
    overloaded.capacity = 0.1;
    overloaded.request_rate = 150;
    peers.record_digest(overloaded, now);
    for (const auto* name : {"c", "d", "e"})
    {
        peers.record_digest(make_digest(name), now);
    }
    BOOST_TEST(peers.entry_points(zone, self, now, always_zero).size() == 4);

    overloaded.request_rate = 90;
    overloaded.sequence = 2;
    peers.record_digest(overloaded, now);
    BOOST_TEST(peers.entry_points(zone, self, now, always_zero).size() == 5);
}

BOOST_AUTO_TEST_CASE(the_digest_period_grows_with_the_fleet)
{
    auto peers = make_table();
    for (int number = 0; number < 63; ++number)
    {
        peers.record_digest(make_digest("p" + std::to_string(number)), now);
    }
    BOOST_TEST((peers.digest_period() == 400ms));
    BOOST_TEST(peers.take_due(now).size() == 63);
    BOOST_TEST(peers.take_due(now + 300ms).empty());
    BOOST_TEST(peers.take_due(now + 400ms).size() == 63);
    BOOST_TEST(peers.entry_points(zone, self, now + 2s, always_zero).size() == 64);
}

// Guards against a restarted router missing from all lists because a delayed digest of its previous
// incarnation replaces the latest one.
BOOST_AUTO_TEST_CASE(digests_of_an_earlier_incarnation_or_out_of_order_are_ignored)
{
    auto peers = make_table();
    BOOST_TEST(peers.record_digest(make_digest("b", 2, 5), now));
    BOOST_TEST(!peers.record_digest(make_digest("b", 2, 5), now));
    BOOST_TEST(!peers.record_digest(make_digest("b", 2, 4), now));
    BOOST_TEST(!peers.record_digest(make_digest("b", 1, 9), now));
    BOOST_TEST(peers.record_digest(make_digest("b", 3, 1), now));
}

BOOST_AUTO_TEST_CASE(a_digest_is_outdated_exactly_if_it_would_change_nothing)
{
    auto peers = make_table();
    const auto is_outdated =
        [&](const char* sender, std::uint64_t incarnation, std::uint64_t sequence)
    {
        return peers.is_outdated(
            {.sender = base::node_id(sender), .incarnation = incarnation, .sequence = sequence});
    };
    BOOST_TEST(!is_outdated("b", 1, 1));
    peers.record_digest(make_digest("b", 2, 5), now);
    BOOST_TEST(is_outdated("b", 2, 5));
    BOOST_TEST(is_outdated("b", 2, 4));
    BOOST_TEST(is_outdated("b", 1, 9));
    BOOST_TEST(!is_outdated("b", 2, 6));
    BOOST_TEST(!is_outdated("b", 3, 1));
    BOOST_TEST(!is_outdated("c", 1, 1));
    BOOST_TEST(is_outdated("self", 9, 9));
}

BOOST_AUTO_TEST_CASE(a_digest_without_numbers_adds_no_peer)
{
    auto peers = make_table();

    BOOST_TEST(!peers.record_digest(make_digest("b", 0, 0), now));
    BOOST_TEST(peers.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_routers_own_digest_adds_no_peer)
{
    auto peers = make_table();

    BOOST_TEST(!peers.record_digest(make_digest("self"), now));
    BOOST_TEST(peers.size() == 0);
}

BOOST_AUTO_TEST_CASE(unreachable_peers_get_digests_at_the_probe_period)
{
    auto peers = make_table();
    peers.record_digest(make_digest("b"), now);
    BOOST_TEST(peers.take_due(now + 2s).size() == 1);
    BOOST_TEST(peers.take_due(now + 2100ms).empty());
    BOOST_TEST(peers.take_due(now + 3s).size() == 1);
}

BOOST_AUTO_TEST_CASE(only_a_reachable_peer_with_a_newer_configuration_is_chosen)
{
    auto peers = make_table();
    auto newer = make_digest("b");
    newer.version = base::config_version{8};
    peers.record_digest(newer, now);

    BOOST_TEST(peers.with_newer_configuration(base::config_version{7}, now, 0)->id.str() == "b");
    BOOST_TEST(peers.with_newer_configuration(base::config_version{8}, now, 0) == nullptr);
    BOOST_TEST(peers.with_newer_configuration(base::config_version{7}, now + 1s, 0) == nullptr);
}

// Guards against all routers requesting a copy at the same moment from the first one by name.
BOOST_AUTO_TEST_CASE(the_source_of_a_copy_is_random_and_in_the_own_zone_if_possible)
{
    auto peers = make_table();
    for (const auto* name : {"a", "b", "c", "d"})
    {
        auto each = make_digest(name);
        each.version = base::config_version{8};
        each.tables_fresh_for = 5s;
        each.zone = name < std::string("c") ? base::zone_id("elsewhere") : zone;
        peers.record_digest(each, now);
    }
    auto newest_elsewhere = make_digest("e");
    newest_elsewhere.version = base::config_version{9};
    newest_elsewhere.zone = base::zone_id("elsewhere");
    peers.record_digest(newest_elsewhere, now);

    BOOST_TEST(peers.with_fresh_tables(now, 0)->id.str() == "c");
    BOOST_TEST(peers.with_fresh_tables(now, 0.99)->id.str() == "d");
    BOOST_TEST(peers.with_newer_configuration(base::config_version{7}, now, 0.99)->id.str() == "e");
    BOOST_TEST(peers.with_newer_configuration(base::config_version{9}, now, 0) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_peer_reports_since_when_its_tables_are_fresh)
{
    auto peers = make_table();
    auto fresh = make_digest("b");
    fresh.tables_fresh_for = 5s;
    peers.record_digest(fresh, now);

    BOOST_TEST(peers.any_fresh_since(now - 4s, now));
    BOOST_TEST(!peers.any_fresh_since(now - 6s, now));
    BOOST_TEST(!peers.any_fresh_since(now - 4s, now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(digests)

BOOST_AUTO_TEST_CASE(decoding_restores_an_encoded_digest)
{
    auto sent = make_digest("b", 123456789012345ULL, 42);
    sent.version = base::config_version{17};
    sent.tables_fresh_for = 1700ms;
    sent.loads[base::upstream_id("e1")] = {
        .running = 3, .pending_prefill_tokens = 9000, .held_tokens = 40000};
    sent.usages[base::workspace_id("north")] = {.demanded = 12000, .served = 8000};
    sent.usages[base::workspace_id("south")] = {.demanded = 9000,
                                                .served = 2000,
                                                .serving_rate = 600,
                                                .refused = 7000,
                                                .held_by_engines = 4000,
                                                .held_by_processor = 3000};

    const auto received = decode(encode(sent));

    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(encode(received.value()) == encode(sent));
    BOOST_TEST(received.value().loads == sent.loads);
    const auto& south = received.value().usages.at(base::workspace_id("south"));
    BOOST_TEST(south.refused == 7000.0);
    BOOST_TEST(south.held_by_engines == 4000.0);
    BOOST_TEST(south.held_by_processor == 3000.0);
    BOOST_TEST(south.serving_rate == 600.0);
}

BOOST_AUTO_TEST_CASE(truncated_or_malformed_digests_are_errors)
{
    const auto encoded = encode(make_digest("b"));
    for (std::size_t size = 0; size < encoded.size(); ++size)
    {
        BOOST_TEST(!decode(std::string_view(encoded).substr(0, size)).has_value());
    }
    BOOST_TEST(!decode("\x83\x01\x02\x03").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
