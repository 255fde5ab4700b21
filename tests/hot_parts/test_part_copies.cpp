#include "libcaraway/routing/parts/part_copies.hpp"

#include "libcaraway/routing/digest.hpp"
#include "libcaraway/routing/placer.hpp"
#include "libcaraway/scheduling/stable_hash.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;
using namespace caraway::routing::parts;

namespace
{

const base::time_point start(1h);
constexpr std::uint64_t part = 7;
constexpr std::uint64_t engine = 11;

std::vector<prompt_part> session(const std::string& name)
{
    return {{.id = "system", .tokens = 500},
            {.id = name, .tokens = 4800},
            {.id = "own", .tokens = 6600}};
}

struct fixture
{
    service engines{.id = base::service_id("engines"),
                    .engine = engine_capacity{
                        .slots = 32,
                        .kv_tokens = 600000,
                        .transfer_per_token = std::chrono::duration<double, std::milli>(0.0005)}};
    upstream_directory directory;
    engines::load_tracker board;
    scheduling::scheduler_options health_options;
    scheduling::upstream_health health{health_options};
    engines::engine_view known;
    placer selector{{.zone = base::zone_id("z1")}};
    placer peer{{.zone = base::zone_id("z2")}};
    std::vector<prompt_part> parts = session("s1");
    placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts};

    fixture()
    {
        for (int number = 0; number < 18; ++number)
        {
            directory.put({.id = base::upstream_id("e" + std::to_string(number)),
                           .service = engines.id,
                           .zone = base::zone_id("z1"),
                           .slots = 32},
                          {.revision = 1, .received = start});
        }
    }

    placement place(placer& chooser, base::time_point now)
    {
        return chooser.choose(request, directory, board, health, known, now).value();
    }

    /// Sends the session's first request through the peer to an engine other than its home, which
    /// has no room, and tells this router.
    placement overflow_at_peer()
    {
        const auto home = place(peer, start).target.id;
        board.record_start(home, {.running = 32});
        auto sent = place(peer, start);
        board.record_end(home, {.running = 32});
        peer.record_sent(sent.target.id, parts, base::workspace_id("w"), start, sent.is_new_copy);
        selector.copies().merge(peer.copies().announced(1s, start), start + 500ms);
        return sent;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(copies_of_parts, fixture)

BOOST_AUTO_TEST_CASE(a_sent_part_is_held_for_its_lifetime_and_read_after_a_while)
{
    part_copies copies;
    copies.record_sent(engine, {part}, start);
    BOOST_TEST(copies.holds(engine, part, start));
    BOOST_TEST(!copies.has_read(engine, part, start + 100ms));
    BOOST_TEST(copies.has_read(engine, part, start + 300ms));
    BOOST_TEST(!copies.holds(engine, part, start + 21s));
    copies.forget(engine);
    BOOST_TEST(!copies.holds(engine, part, start + 1s));
}

BOOST_AUTO_TEST_CASE(a_router_learns_of_a_copy_from_a_digest)
{
    part_copies sender;
    sender.announce(engine, part, start);
    const digest message{.sender = base::node_id("peer"),
                         .zone = base::zone_id("z1"),
                         .part_rates = sender.announced(1s, start)};
    const auto received = decode(encode(message));
    BOOST_REQUIRE(received.has_value());
    part_copies receiver;
    receiver.merge(received.value().part_rates, start);
    BOOST_TEST(receiver.holds(engine, part, start));
    BOOST_TEST(sender.announced(1s, start + 2s).empty());
}

BOOST_AUTO_TEST_CASE(copies_of_unknown_upstreams_and_thousands_of_them_are_bounded)
{
    part_copies copies;
    copies.record_sent(engine, {part}, start);
    std::vector<part_rate> received;
    for (std::uint64_t number = 1; number <= 20000; ++number)
    {
        received.push_back({.prefix = number, .holder = number});
    }
    copies.merge(received, start);
    BOOST_TEST(!copies.holds(20000, 20000, start));
    BOOST_TEST(copies.holds(engine, part, start));
    for (std::uint64_t number = 1; number <= 20000; ++number)
    {
        copies.merge({{.prefix = number, .holder = 5}}, start);
    }
    BOOST_TEST(!copies.holds(5, 20000, start));
    BOOST_TEST(copies.holds(engine, part, start));
}

// Guards against shared parts that a home reads again, because its routers assume that it has what
// only the engine has that the first requests overflowed to.
BOOST_AUTO_TEST_CASE(a_home_that_may_not_have_a_part_fetches_it_from_the_engine_that_has)
{
    const auto elsewhere = overflow_at_peer();
    BOOST_TEST(elsewhere.is_new_copy);
    const auto at_home = place(selector, start + 1s);
    BOOST_TEST((at_home.copy == held_copy::home || at_home.target.id == elsewhere.target.id));
    if (at_home.copy == held_copy::home)
    {
        BOOST_REQUIRE(at_home.cache_source.has_value());
        BOOST_TEST(at_home.cache_source->id == elsewhere.target.id);
    }
}

// Guards against a copy of a busy session at nearly each engine, one for each router that sent its
// requests elsewhere than the others did.
BOOST_AUTO_TEST_CASE(requests_that_find_the_home_full_go_where_another_router_sent_theirs)
{
    const auto elsewhere = overflow_at_peer();
    const auto home = place(selector, start + 1s).target.id;
    std::set<base::upstream_id> targets;
    if (home != elsewhere.target.id)
    {
        board.record_start(home, {.running = 32});
    }
    for (int number = 0; number < 5; ++number)
    {
        const auto sent = place(selector, start + 1s);
        targets.insert(sent.target.id);
        BOOST_TEST(!sent.is_new_copy);
    }
    BOOST_TEST((targets == std::set<base::upstream_id>{elsewhere.target.id}));
}

BOOST_AUTO_TEST_CASE(a_source_that_left_or_was_replaced_is_not_asked)
{
    const auto elsewhere = overflow_at_peer();
    selector.forget(elsewhere.target.id);
    BOOST_TEST(!place(selector, start + 1s).cache_source.has_value());

    selector.copies().merge(peer.copies().announced(1s, start), start + 500ms);
    directory.remove(elsewhere.target.id, {.revision = 2, .received = start});
    const auto sent = place(selector, start + 1s);
    BOOST_TEST((!sent.cache_source || sent.cache_source->id != elsewhere.target.id));
}

BOOST_AUTO_TEST_CASE(a_placement_says_why_it_left_the_routers_zone)
{
    BOOST_TEST((place(selector, start).zone == zone_choice::own_zone));
    const auto at_home = place(peer, start);
    BOOST_TEST((at_home.zone == zone_choice::holds_parts));
    board.record_start(at_home.target.id, {.running = 32});
    BOOST_TEST((place(peer, start).zone == zone_choice::less_busy));
}

BOOST_AUTO_TEST_CASE(parts_that_are_read_quickly_are_not_told_of)
{
    parts = {
        {.id = "system", .tokens = 119}, {.id = "s1", .tokens = 80}, {.id = "own", .tokens = 9}};
    request.prompt_tokens = 208;
    const auto home = place(selector, start).target.id;
    board.record_start(home, {.running = 32});
    BOOST_TEST(!place(selector, start).is_new_copy);
}

BOOST_AUTO_TEST_SUITE_END()
