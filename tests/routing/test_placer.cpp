#include "libcaraway/routing/placer.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;
using namespace caraway::routing::engines;

namespace
{

const base::time_point now(1h);

struct fixture
{
    service engines{.id = base::service_id("engines"),
                    .engine = engine_capacity{.slots = 32, .kv_tokens = 600000}};
    service plain{.id = base::service_id("plain")};
    upstream_directory directory;
    load_tracker board;
    scheduling::scheduler_options health_options;
    scheduling::upstream_health health{health_options};
    engine_view known;
    placer selector{{.zone = base::zone_id("z1")}};

    void add(const service& owner, const std::string& id, const std::string& zone = "z1")
    {
        directory.put({.id = base::upstream_id(id),
                       .service = owner.id,
                       .zone = base::zone_id(zone),
                       .slots = owner.engine ? owner.engine->slots : 6},
                      {.revision = 1, .received = now});
    }

    void add_engines(int count)
    {
        for (int engine = 0; engine < count; ++engine)
        {
            add(engines, "e" + std::to_string(engine));
        }
    }

    void enable_cache_transfer()
    {
        engines.engine->transfer_per_token = std::chrono::duration<double, std::milli>(0.0005);
    }

    std::optional<placement> place(const placement_request& request)
    {
        return selector.choose(request, directory, board, health, known, now);
    }
};

std::vector<prompt_part> session(const std::string& name)
{
    return {{.id = "system", .tokens = 500},
            {.id = name, .tokens = 4800},
            {.id = "own", .tokens = 6600}};
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(placers, fixture)

BOOST_AUTO_TEST_CASE(requests_of_a_session_go_to_the_same_engine)
{
    for (int engine = 0; engine < 18; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
    }
    const auto parts = session("s1");
    const placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts};

    const auto first = place(request);
    placer other({.zone = base::zone_id("z1")});
    const auto second = other.choose(request, directory, board, health, known, now);

    BOOST_TEST(first->target.id == second->target.id);
    BOOST_TEST(first->load.pending_prefill_tokens == 6600);
}

BOOST_AUTO_TEST_CASE(sessions_are_spread_over_the_engines)
{
    for (int engine = 0; engine < 6; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
    }
    std::map<base::upstream_id, int> homes;
    for (int number = 0; number < 120; ++number)
    {
        const auto parts = session("s" + std::to_string(number));
        ++homes[place({.requested_service = &engines, .prompt_tokens = 11900, .parts = &parts})
                    ->target.id];
    }

    BOOST_TEST(homes.size() == 6);
    for (const auto& [id, count] : homes)
    {
        BOOST_TEST(count < 40);
    }
}

// Guards against requests of a busy session that exceed their latency target at its home while
// other engines are idle, because nothing outweighs the cached prefix.
BOOST_AUTO_TEST_CASE(a_session_leaves_a_home_whose_queue_takes_longer_than_another_prefill)
{
    add(engines, "e1");
    add(engines, "e2");
    const auto parts = session("s1");
    const placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts, .max_wait = 2000ms};
    const auto home = place(request)->target.id;

    board.record_start(home, {.running = 4, .pending_prefill_tokens = 60000});

    BOOST_TEST(place(request)->target.id != home);
}

// Guards against late stream events and queued prompts at slow engines while others have room:
// engines with two thirds of the others' prefill speed must not get as many tokens.
BOOST_AUTO_TEST_CASE(a_slower_engine_gets_fewer_tokens)
{
    add(engines, "e1");
    add(engines, "e2");
    for (int sample = 0; sample < 20; ++sample)
    {
        known.prefill.record_prefill(base::upstream_id("e1"), 0, 5000, 25ms + 165ms, now);
        known.prefill.record_prefill(base::upstream_id("e2"), 0, 5000, 25ms + 110ms, now);
        known.refresh(now);
    }
    std::map<base::upstream_id, std::uint64_t> tokens;
    for (int number = 0; number < 50; ++number)
    {
        const auto chosen =
            place({.requested_service = &engines, .prompt_tokens = 5000, .max_wait = 10000ms});
        tokens[chosen->target.id] += 5000;
        board.record_start(chosen->target.id, {.pending_prefill_tokens = 5000});
    }

    BOOST_TEST(tokens[base::upstream_id("e1")] * 10 < tokens[base::upstream_id("e2")] * 8);
}

BOOST_AUTO_TEST_CASE(a_part_counts_as_cached_where_it_was_sent)
{
    add(engines, "e1");
    add(engines, "e2");
    const auto parts = session("s1");
    const placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts};
    const auto home = place(request)->target.id;
    const base::upstream_id other(home.str() == "e1" ? "e2" : "e1");

    selector.record_sent(other, parts, base::workspace_id("w1"), now);
    board.record_start(home, {.running = 1, .pending_prefill_tokens = 6000});

    BOOST_TEST(place(request)->target.id == other);
    BOOST_TEST(place(request)->load.pending_prefill_tokens == 6600);
}

// Guards against a seventh of the capacity being lost to repeated prefill while workspaces within
// their shares wait: requests of a flooding workspace find the homes of their sessions full, and go
// to other engines that prefill the same parts a third and a fourth time.
BOOST_AUTO_TEST_CASE(requests_beyond_their_share_repeat_prefill_only_at_their_homes)
{
    for (int engine = 0; engine < 6; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
    }
    const auto parts = session("s1");
    placement_request request{.requested_service = &engines,
                              .prompt_tokens = 11900,
                              .parts = &parts,
                              .max_repeated_tokens = 300};
    const auto home = place(request)->target.id;
    board.record_start(home, {.running = 32});
    const auto second = place(request)->target.id;
    board.record_start(second, {.running = 32});

    BOOST_TEST(!place(request).has_value());
    request.max_repeated_tokens = 10000;
    BOOST_TEST(place(request).has_value());
}

BOOST_AUTO_TEST_CASE(an_engine_without_free_slots_gets_no_requests)
{
    add(engines, "e1");
    board.record_start(base::upstream_id("e1"), {.running = 32});

    BOOST_TEST(!place({.requested_service = &engines, .prompt_tokens = 10}).has_value());
}

BOOST_AUTO_TEST_CASE(requests_beyond_their_share_leave_some_slots_free)
{
    add(engines, "e1");
    board.record_start(base::upstream_id("e1"), {.running = 16});

    BOOST_TEST(!place({.requested_service = &engines, .prompt_tokens = 10, .slot_share = 0.5})
                    .has_value());
    BOOST_TEST(place({.requested_service = &engines, .prompt_tokens = 10}).has_value());
}

// Guards against repeated prefill of the newest request of an engine, which the engine preempts
// whenever it runs out of memory.
BOOST_AUTO_TEST_CASE(an_engine_gets_no_more_than_fits_in_its_kv_cache)
{
    add(engines, "e1");
    board.record_start(base::upstream_id("e1"), {.running = 5, .held_tokens = 545000});

    BOOST_TEST(!place({.requested_service = &engines, .prompt_tokens = 8000}).has_value());
    BOOST_TEST(place({.requested_service = &engines, .prompt_tokens = 4000}).has_value());
}

BOOST_AUTO_TEST_CASE(a_prompt_longer_than_the_maximum_wait_is_placed_at_an_idle_engine)
{
    add(engines, "e1");

    BOOST_TEST(place({.requested_service = &engines, .prompt_tokens = 60000, .max_wait = 50ms})
                   .has_value());
}

BOOST_AUTO_TEST_CASE(plain_calls_prefer_lower_load_and_the_own_zone)
{
    add(plain, "near", "z1");
    add(plain, "far", "z2");
    BOOST_TEST(place({.requested_service = &plain})->target.id.str() == "near");

    board.record_start(base::upstream_id("near"), {.running = 4});

    BOOST_TEST(place({.requested_service = &plain})->target.id.str() == "far");
}

BOOST_AUTO_TEST_CASE(no_upstream_is_tried_twice_for_one_request)
{
    add(plain, "a");

    BOOST_TEST(
        !place({.requested_service = &plain, .tried = {base::upstream_id("a")}}).has_value());
}

BOOST_AUTO_TEST_CASE(uncached_parts_are_fetched_from_the_home_of_the_session)
{
    enable_cache_transfer();
    const auto parts = session("s1");
    placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts};
    add_engines(18);
    const auto home = place(request)->target;
    BOOST_TEST(!place(request)->cache_source.has_value());

    board.record_start(home.id, {.running = 32});
    const auto elsewhere = place(request);
    BOOST_REQUIRE(elsewhere->cache_source.has_value());
    BOOST_TEST(elsewhere->cache_source->id == home.id);
    BOOST_TEST(elsewhere->target.id != home.id);
}

BOOST_AUTO_TEST_CASE(nothing_is_fetched_from_a_home_that_cannot_have_it_cached)
{
    enable_cache_transfer();
    const auto parts = session("s1");
    placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts};
    add_engines(18);
    const auto home = place(request)->target;
    board.record_start(home.id, {.running = 32});

    slow_start cold(base::node_id("r1"));
    cold.set_limits({{engines.id, {.duration = 3000ms, .requests_per_s = 10}}});
    cold.record_cold(home, 3000ms, now);
    request.cold_upstreams = &cold;
    BOOST_TEST(!place(request)->cache_source.has_value());
    request.cold_upstreams = nullptr;

    request.tried = {home.id};
    BOOST_TEST(!place(request)->cache_source.has_value());
    request.tried.clear();

    for (int failure = 0; failure < 5; ++failure)
    {
        health.record_result(home.id, scheduling::attempt_result::failed, {}, now);
    }
    BOOST_TEST(health.ejected(home.id, now) != place(request)->cache_source.has_value());

    // With its zone drained, no upstream is left.
    directory.record_zone({.zone = base::zone_id("z1"), .drained = true, .revision = 1});
    BOOST_TEST(!place(request).has_value());
}

// Guards against work for an engine that asked for rest on behalf of requests to other engines.
BOOST_AUTO_TEST_CASE(parts_are_not_fetched_from_a_home_that_asked_for_rest)
{
    enable_cache_transfer();
    const auto parts = session("s1");
    const placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts};
    add_engines(18);
    const auto home = place(request)->target;
    board.record_start(home.id, {.running = 32});
    BOOST_REQUIRE(place(request)->cache_source.has_value());

    health.record_rest(home.id, 3000ms, now);
    BOOST_TEST(!place(request)->cache_source.has_value());
}

// What two software versions write doesn't fit together, cached parts of a prompt included.
BOOST_AUTO_TEST_CASE(parts_are_not_fetched_from_a_home_of_another_software_version)
{
    enable_cache_transfer();
    const auto parts = session("s1");
    const placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts};
    add_engines(18);
    auto home = place(request)->target;
    board.record_start(home.id, {.running = 32});
    BOOST_REQUIRE(place(request)->cache_source.has_value());

    home.software = base::software_version("v2");
    directory.put(home, {.revision = 2, .received = now});
    BOOST_TEST(!place(request)->cache_source.has_value());
}

BOOST_AUTO_TEST_CASE(a_stream_of_a_version_goes_to_engines_of_that_version_only)
{
    add_engines(4);
    placement_request request{.requested_service = &engines,
                              .software = base::software_version("v2")};
    BOOST_TEST(!place(request).has_value());

    auto last = *directory.find(base::upstream_id("e3"));
    last.software = base::software_version("v2");
    directory.put(last, {.revision = 2, .received = now});
    BOOST_REQUIRE(place(request).has_value());
    BOOST_TEST(place(request)->target.id == last.id);
}

BOOST_AUTO_TEST_CASE(small_parts_are_not_fetched_nor_from_engines_without_transfer)
{
    const std::vector<prompt_part> small{
        {.id = "system", .tokens = 119}, {.id = "s1", .tokens = 80}, {.id = "own", .tokens = 400}};
    const auto large = session("s1");
    add_engines(18);
    placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &large};
    board.record_start(place(request)->target.id, {.running = 32});
    BOOST_TEST(!place(request)->cache_source.has_value());

    enable_cache_transfer();
    request.parts = &small;
    request.prompt_tokens = 599;
    board.record_start(place(request)->target.id, {.running = 32});
    BOOST_TEST(!place(request)->cache_source.has_value());
}

BOOST_AUTO_TEST_CASE(in_a_large_service_sessions_go_home_and_other_requests_spread)
{
    for (int engine = 0; engine < 3000; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
    }
    const auto parts = session("s1");
    placement_request request{
        .requested_service = &engines, .prompt_tokens = 11900, .parts = &parts};
    std::map<base::upstream_id, int> homes;
    std::map<base::upstream_id, int> others;
    for (int number = 0; number < 30; ++number)
    {
        request.random_unit = number / 30.0;
        request.parts = &parts;
        ++homes[place(request)->target.id];
        request.parts = nullptr;
        ++others[place(request)->target.id];
    }
    BOOST_TEST(homes.size() == 1U);
    BOOST_TEST(others.size() >= 25U);
}

// Guards against engines that stay idle because they are in no sample.
BOOST_AUTO_TEST_CASE(in_a_large_service_the_only_free_engine_is_found)
{
    for (int engine = 0; engine < 3000; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
        if (engine != 1234)
        {
            board.record_start(base::upstream_id("e" + std::to_string(engine)), {.running = 32});
        }
    }
    const auto parts = session("s1");
    const auto found = place({.requested_service = &engines,
                              .prompt_tokens = 11900,
                              .parts = &parts,
                              .random_unit = 0.9});
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->target.id.str() == "e1234");
}

BOOST_AUTO_TEST_SUITE_END()
