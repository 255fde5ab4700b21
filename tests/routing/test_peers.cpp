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
const endpoint own{.ip = "10.0.0.1", .port = 1};
const peer self{.id = base::node_id("self"), .zone = zone, .callers = own, .ready = true};
const peer stopping_self{.id = base::node_id("self"), .zone = zone, .callers = own};

double lowest()
{
    return 0;
}

digest from(const std::string& name, std::uint64_t life = 1, std::uint64_t number = 1)
{
    return {.sender = base::node_id(name),
            .incarnation = life,
            .sequence = number,
            .zone = zone,
            .callers = {.ip = name, .port = 80},
            .datagrams = {.ip = name, .port = 81},
            .ready = true};
}

peer_table make()
{
    return {base::node_id("self"), zone};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_tables)

BOOST_AUTO_TEST_CASE(callers_are_told_of_routers_that_are_heard_and_ready)
{
    auto peers = make();
    auto stopping = from("c");
    stopping.ready = false;
    peers.record_digest(from("b"), now);
    peers.record_digest(stopping, now);

    const auto entries = peers.entry_points(zone, self, now, lowest);

    BOOST_TEST((entries == std::vector<endpoint>{own, {.ip = "b", .port = 80}}));
}

BOOST_AUTO_TEST_CASE(a_router_that_stops_names_only_the_others)
{
    auto peers = make();
    peers.record_digest(from("b"), now);

    BOOST_TEST((peers.entry_points(zone, stopping_self, now, lowest) ==
                std::vector<endpoint>{{.ip = "b", .port = 80}}));
}

// Guards against callers of a large fleet that are sent to VMs which have been gone for seconds.
BOOST_AUTO_TEST_CASE(among_hundreds_a_router_that_is_gone_is_named_for_five_seconds_at_most)
{
    auto peers = make();
    for (int each = 0; each < 300; ++each)
    {
        peers.record_digest(from("r" + std::to_string(each)), now);
    }
    const auto later = now + 5s;
    for (int each = 1; each < 300; ++each)
    {
        peers.record_digest(from("r" + std::to_string(each), 1, 2), later);
    }
    const auto entries = peers.entry_points(zone, self, later, lowest);
    BOOST_TEST(entries.size() == 64U);
    const endpoint gone{.ip = "r0", .port = 80};
    BOOST_TEST((std::find(entries.begin(), entries.end(), gone) == entries.end()));
}

BOOST_AUTO_TEST_CASE(a_silent_router_is_left_out)
{
    auto peers = make();
    peers.record_digest(from("b"), now);
    peers.record_digest(from("c"), now + 500ms);
    peers.record_digest(from("d"), now + 500ms);

    BOOST_TEST(peers.entry_points(zone, self, now + 700ms, lowest).size() == 3);
}

// Symptom: all callers of a zone came to one router, which was cut off from the others.
// Sequence: the router heard no other any more and named only itself.
// Cause: it took its own cut for everybody else's death.
BOOST_AUTO_TEST_CASE(a_router_that_hears_nobody_names_all_it_knows)
{
    auto peers = make();
    for (const auto* name : {"b", "c", "d"})
    {
        peers.record_digest(from(name), now);
    }

    BOOST_TEST(peers.entry_points(zone, self, now + 2s, lowest).size() == 4);
}

// Symptom: routers of a tenth of a core read requests a second late, while larger ones idled.
// Sequence: callers picked one of all names at random; a flooding workspace's all stood in one
// zone. Cause: small and large VMs were named alike, and a crowded zone's callers were kept in it.
BOOST_AUTO_TEST_CASE(a_small_vm_is_named_less_often)
{
    auto peers = make();
    auto large = from("b");
    large.capacity = 4;
    peers.record_digest(large, now);
    const auto named = [&](double draw)
    {
        return peers.entry_points(zone, self, now, [=] { return draw; }).size();
    };

    BOOST_TEST(named(0.2) == 2);
    BOOST_TEST(named(0.3) == 1);
}

BOOST_AUTO_TEST_CASE(callers_of_a_crowded_zone_are_sent_to_others_too)
{
    peer_table peers(base::node_id("self"), zone, {.zone_overload_ratio = 1.5});
    auto crowded = from("b");
    crowded.request_rate = 300;
    peers.record_digest(crowded, now);
    for (const auto* name : {"c", "d", "e"})
    {
        auto far = from(name);
        far.zone = base::zone_id("z2");
        far.request_rate = 20;
        peers.record_digest(far, now);
    }
    BOOST_TEST(peers.entry_points(zone, self, now, lowest).size() == 5);

    crowded.request_rate = 40;
    crowded.sequence = 2;
    peers.record_digest(crowded, now);
    BOOST_TEST(peers.entry_points(zone, self, now, lowest).size() == 2);
}

// Symptom: one router of 86 got a fifth of all requests and read them seconds late.
// Sequence: a flooding workspace's callers held connections to it and went on using them.
// Cause: callers leave a connection only when its address is missing from a new list.
BOOST_AUTO_TEST_CASE(a_flooded_router_is_left_out_while_others_have_room)
{
    auto peers = make();
    auto flooded = from("b");
    flooded.capacity = 0.1;
    flooded.request_rate = 150;
    peers.record_digest(flooded, now);
    for (const auto* name : {"c", "d", "e"})
    {
        peers.record_digest(from(name), now);
    }
    BOOST_TEST(peers.entry_points(zone, self, now, lowest).size() == 4);

    flooded.request_rate = 90;
    flooded.sequence = 2;
    peers.record_digest(flooded, now);
    BOOST_TEST(peers.entry_points(zone, self, now, lowest).size() == 5);
}

BOOST_AUTO_TEST_CASE(in_a_large_fleet_digests_are_rarer)
{
    auto peers = make();
    for (int each = 0; each < 63; ++each)
    {
        peers.record_digest(from("p" + std::to_string(each)), now);
    }
    BOOST_TEST((peers.digest_period() == 400ms));
    BOOST_TEST(peers.take_due(now).size() == 63);
    BOOST_TEST(peers.take_due(now + 300ms).empty());
    BOOST_TEST(peers.take_due(now + 400ms).size() == 63);
    BOOST_TEST(peers.entry_points(zone, self, now + 2s, lowest).size() == 64);
}

// Symptom: a restarted router was given to nobody.
// Cause: a late digest of its earlier life was taken for its newest word.
BOOST_AUTO_TEST_CASE(digests_of_an_earlier_life_or_out_of_order_change_nothing)
{
    auto peers = make();
    BOOST_TEST(peers.record_digest(from("b", 2, 5), now));
    BOOST_TEST(!peers.record_digest(from("b", 2, 5), now));
    BOOST_TEST(!peers.record_digest(from("b", 2, 4), now));
    BOOST_TEST(!peers.record_digest(from("b", 1, 9), now));
    BOOST_TEST(peers.record_digest(from("b", 3, 1), now));
}

BOOST_AUTO_TEST_CASE(its_own_digest_is_no_peers)
{
    auto peers = make();

    BOOST_TEST(!peers.record_digest(from("self"), now));
    BOOST_TEST(peers.size() == 0);
}

BOOST_AUTO_TEST_CASE(silent_peers_are_still_told_now_and_then)
{
    auto peers = make();
    peers.record_digest(from("b"), now);
    BOOST_TEST(peers.take_due(now + 2s).size() == 1);
    BOOST_TEST(peers.take_due(now + 2100ms).empty());
    BOOST_TEST(peers.take_due(now + 3s).size() == 1);
}

BOOST_AUTO_TEST_CASE(a_newer_configuration_is_asked_for_where_it_is)
{
    auto peers = make();
    auto ahead = from("b");
    ahead.version = base::config_version{8};
    peers.record_digest(ahead, now);

    BOOST_TEST(peers.with_newer_configuration(base::config_version{7}, now, 0)->id.str() == "b");
    BOOST_TEST(peers.with_newer_configuration(base::config_version{8}, now, 0) == nullptr);
    BOOST_TEST(peers.with_newer_configuration(base::config_version{7}, now + 1s, 0) == nullptr);
}

// Symptom: the router that came first by name was asked for its copy by all others at one moment.
BOOST_AUTO_TEST_CASE(who_is_asked_is_drawn_from_this_zone_first_and_then_from_all)
{
    auto peers = make();
    for (const auto* name : {"a", "b", "c", "d"})
    {
        auto each = from(name);
        each.version = base::config_version{8};
        each.tables_fresh_for = 5s;
        each.zone = name < std::string("c") ? base::zone_id("elsewhere") : zone;
        peers.record_digest(each, now);
    }
    auto newer_elsewhere = from("e");
    newer_elsewhere.version = base::config_version{9};
    newer_elsewhere.zone = base::zone_id("elsewhere");
    peers.record_digest(newer_elsewhere, now);

    BOOST_TEST(peers.with_fresh_tables(now, 0)->id.str() == "c");
    BOOST_TEST(peers.with_fresh_tables(now, 0.99)->id.str() == "d");
    BOOST_TEST(peers.with_newer_configuration(base::config_version{7}, now, 0.99)->id.str() == "e");
    BOOST_TEST(peers.with_newer_configuration(base::config_version{9}, now, 0) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_peer_that_kept_the_store_says_since_when)
{
    auto peers = make();
    auto kept = from("b");
    kept.tables_fresh_for = 5s;
    peers.record_digest(kept, now);

    BOOST_TEST(peers.any_fresh_since(now - 4s, now));
    BOOST_TEST(!peers.any_fresh_since(now - 6s, now));
    BOOST_TEST(!peers.any_fresh_since(now - 4s, now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(digests)

BOOST_AUTO_TEST_CASE(a_digest_arrives_as_it_was_sent)
{
    auto sent = from("b", 123456789012345ULL, 42);
    sent.version = base::config_version{17};
    sent.tables_fresh_for = 1700ms;
    sent.loads[base::upstream_id("e1")] = {
        .running = 3, .unread_tokens = 9000, .held_tokens = 40000};
    sent.usages[base::workspace_id("north")] = {.asked = 12000, .served = 8000};

    const auto received = decode(encode(sent));

    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(encode(received.value()) == encode(sent));
    BOOST_TEST(received.value().loads == sent.loads);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_digest_are_an_error)
{
    const auto whole = encode(from("b"));
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        BOOST_TEST(!decode(std::string_view(whole).substr(0, size)).has_value());
    }
    BOOST_TEST(!decode("\x83\x01\x02\x03").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
