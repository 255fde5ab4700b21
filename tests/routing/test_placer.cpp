#include "libcaraway/routing/placer.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;

namespace
{

const base::time_point now(1h);

struct fixture
{
    service engines{.id = base::service_id("engines"),
                    .engine = engine_capacity{.slots = 32, .kv_tokens = 600000}};
    service plain{.id = base::service_id("plain")};
    upstream_directory directory;
    load_board board;
    scheduling::scheduler_options health_options;
    scheduling::upstream_health health{health_options};
    reading_pace pace;
    placer choice{{.zone = base::zone_id("z1")}};

    void add(const service& of, const std::string& id, const std::string& zone = "z1")
    {
        directory.put({.id = base::upstream_id(id),
                       .service = of.id,
                       .zone = base::zone_id(zone),
                       .slots = of.engine ? of.engine->slots : 6},
                      {.revision = 1, .heard = now});
    }

    void add_engines(int count)
    {
        for (int engine = 0; engine < count; ++engine)
        {
            add(engines, "e" + std::to_string(engine));
        }
    }

    void let_engines_hand_on()
    {
        engines.engine->transfer_per_token = std::chrono::duration<double, std::milli>(0.0005);
    }

    std::optional<placement> place(const placement_request& request)
    {
        return choice.choose(request, directory, board, health, pace, now);
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

BOOST_AUTO_TEST_CASE(requests_of_one_session_meet_at_one_engine)
{
    for (int engine = 0; engine < 18; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
    }
    const auto parts = session("s1");
    const placement_request request{.of = &engines, .prompt_tokens = 11900, .parts = &parts};

    const auto first = place(request);
    placer other({.zone = base::zone_id("z1")});
    const auto second = other.choose(request, directory, board, health, pace, now);

    BOOST_TEST(first->where.id == second->where.id);
    BOOST_TEST(first->load.unread_tokens == 6600);
}

BOOST_AUTO_TEST_CASE(sessions_spread_over_the_engines)
{
    for (int engine = 0; engine < 6; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
    }
    std::map<base::upstream_id, int> homes;
    for (int each = 0; each < 120; ++each)
    {
        const auto parts = session("s" + std::to_string(each));
        ++homes[place({.of = &engines, .prompt_tokens = 11900, .parts = &parts})->where.id];
    }

    BOOST_TEST(homes.size() == 6);
    for (const auto& [id, count] : homes)
    {
        BOOST_TEST(count < 40);
    }
}

// Symptom: a hot session's requests waited past their time at one engine while others idled.
// Cause: a session was kept at its home at any price.
BOOST_AUTO_TEST_CASE(a_session_leaves_a_home_whose_line_is_longer_than_reading_anew)
{
    add(engines, "e1");
    add(engines, "e2");
    const auto parts = session("s1");
    const placement_request request{
        .of = &engines, .prompt_tokens = 11900, .parts = &parts, .longest_wait = 2000ms};
    const auto home = place(request)->where.id;

    board.begin(home, {.running = 4, .unread_tokens = 60000});

    BOOST_TEST(place(request)->where.id != home);
}

// Symptom: streams on some engines paused for longer than was on time, and prompts waited there,
// while others had room.
// Cause: engines that read at two thirds of the others' speed got as much as these.
BOOST_AUTO_TEST_CASE(a_slower_engine_gets_less)
{
    add(engines, "e1");
    add(engines, "e2");
    for (int seen = 0; seen < 20; ++seen)
    {
        pace.note(base::upstream_id("e1"), 0, 5000, 25ms + 165ms, now);
        pace.note(base::upstream_id("e2"), 0, 5000, 25ms + 110ms, now);
        pace.refresh(now);
    }
    std::map<base::upstream_id, std::uint64_t> tokens;
    for (int each = 0; each < 50; ++each)
    {
        const auto where = place({.of = &engines, .prompt_tokens = 5000, .longest_wait = 10000ms});
        tokens[where->where.id] += 5000;
        board.begin(where->where.id, {.unread_tokens = 5000});
    }

    BOOST_TEST(tokens[base::upstream_id("e1")] * 10 < tokens[base::upstream_id("e2")] * 8);
}

BOOST_AUTO_TEST_CASE(a_part_that_was_read_is_known_where_it_was_read)
{
    add(engines, "e1");
    add(engines, "e2");
    const auto parts = session("s1");
    const placement_request request{.of = &engines, .prompt_tokens = 11900, .parts = &parts};
    const auto home = place(request)->where.id;
    const base::upstream_id other(home.str() == "e1" ? "e2" : "e1");

    choice.note_sent(other, parts, now);
    board.begin(home, {.running = 1, .unread_tokens = 6000});

    BOOST_TEST(place(request)->where.id == other);
    BOOST_TEST(place(request)->load.unread_tokens == 6600);
}

// Symptom: while workspaces within their shares waited, engines read the same session's parts a
// third and a fourth time; a seventh of a busy day's worth went there.
// Sequence: a flooding workspace's requests found their sessions' homes full and went on to others.
// Cause: work beyond its share could have any engine read anything anew.
BOOST_AUTO_TEST_CASE(work_that_gives_way_has_no_parts_read_anew_but_at_its_homes)
{
    for (int engine = 0; engine < 6; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
    }
    const auto parts = session("s1");
    placement_request request{
        .of = &engines, .prompt_tokens = 11900, .parts = &parts, .most_repeated = 300};
    const auto home = place(request)->where.id;
    board.begin(home, {.running = 32});
    const auto second = place(request)->where.id;
    board.begin(second, {.running = 32});

    BOOST_TEST(!place(request).has_value());
    request.most_repeated = 10000;
    BOOST_TEST(place(request).has_value());
}

BOOST_AUTO_TEST_CASE(an_engine_whose_slots_are_taken_gets_nothing)
{
    add(engines, "e1");
    board.begin(base::upstream_id("e1"), {.running = 32});

    BOOST_TEST(!place({.of = &engines, .prompt_tokens = 10}).has_value());
}

BOOST_AUTO_TEST_CASE(work_beyond_its_share_leaves_some_slots_free)
{
    add(engines, "e1");
    board.begin(base::upstream_id("e1"), {.running = 16});

    BOOST_TEST(!place({.of = &engines, .prompt_tokens = 10, .slot_share = 0.5}).has_value());
    BOOST_TEST(place({.of = &engines, .prompt_tokens = 10}).has_value());
}

// Symptom: the newest request of an engine was read again from its start, again and again.
// Cause: an engine that runs out of memory puts its newest request back.
BOOST_AUTO_TEST_CASE(an_engine_gets_no_more_than_its_memory_holds)
{
    add(engines, "e1");
    board.begin(base::upstream_id("e1"), {.running = 5, .held_tokens = 545000});

    BOOST_TEST(!place({.of = &engines, .prompt_tokens = 8000}).has_value());
    BOOST_TEST(place({.of = &engines, .prompt_tokens = 4000}).has_value());
}

BOOST_AUTO_TEST_CASE(a_prompt_larger_than_the_accepted_wait_still_finds_an_idle_engine)
{
    add(engines, "e1");

    BOOST_TEST(place({.of = &engines, .prompt_tokens = 60000, .longest_wait = 50ms}).has_value());
}

BOOST_AUTO_TEST_CASE(plain_calls_go_to_the_emptiest_and_rather_to_the_own_zone)
{
    add(plain, "near", "z1");
    add(plain, "far", "z2");
    BOOST_TEST(place({.of = &plain})->where.id.str() == "near");

    board.begin(base::upstream_id("near"), {.running = 4});

    BOOST_TEST(place({.of = &plain})->where.id.str() == "far");
}

BOOST_AUTO_TEST_CASE(no_upstream_is_tried_twice_for_one_request)
{
    add(plain, "a");

    BOOST_TEST(!place({.of = &plain, .tried = {base::upstream_id("a")}}).has_value());
}

BOOST_AUTO_TEST_CASE(what_an_engine_lacks_it_takes_from_the_home_of_the_session)
{
    let_engines_hand_on();
    const auto parts = session("s1");
    placement_request request{.of = &engines, .prompt_tokens = 11900, .parts = &parts};
    add_engines(18);
    const auto home = place(request)->where;
    BOOST_TEST(!place(request)->source.has_value());

    board.begin(home.id, {.running = 32});
    const auto elsewhere = place(request);
    BOOST_REQUIRE(elsewhere->source.has_value());
    BOOST_TEST(elsewhere->source->id == home.id);
    BOOST_TEST(elsewhere->where.id != home.id);
}

BOOST_AUTO_TEST_CASE(nothing_is_taken_from_a_home_that_cannot_hold_it)
{
    let_engines_hand_on();
    const auto parts = session("s1");
    placement_request request{.of = &engines, .prompt_tokens = 11900, .parts = &parts};
    add_engines(18);
    const auto home = place(request)->where;
    board.begin(home.id, {.running = 32});

    slow_start cold(base::node_id("r1"));
    cold.set_terms({{engines.id, {.lasts = 3000ms, .rate = 10}}});
    cold.note_cold(home, 3000ms, now);
    request.cold = &cold;
    BOOST_TEST(!place(request)->source.has_value());
    request.cold = nullptr;

    request.tried = {home.id};
    BOOST_TEST(!place(request)->source.has_value());
    request.tried.clear();

    for (int failure = 0; failure < 5; ++failure)
    {
        health.record_result(home.id, scheduling::attempt_result::failed, {}, now);
    }
    BOOST_TEST(health.ejected(home.id, now) != place(request)->source.has_value());

    // Its zone is drained: it has another home.
    directory.note_zone({.zone = base::zone_id("z1"), .drained = true, .revision = 1});
    BOOST_TEST(!place(request).has_value());
}

BOOST_AUTO_TEST_CASE(small_parts_and_engines_that_cannot_hand_on_are_read)
{
    const std::vector<prompt_part> small{
        {.id = "system", .tokens = 119}, {.id = "s1", .tokens = 80}, {.id = "own", .tokens = 400}};
    const auto large = session("s1");
    add_engines(18);
    placement_request request{.of = &engines, .prompt_tokens = 11900, .parts = &large};
    board.begin(place(request)->where.id, {.running = 32});
    BOOST_TEST(!place(request)->source.has_value());

    let_engines_hand_on();
    request.parts = &small;
    request.prompt_tokens = 599;
    board.begin(place(request)->where.id, {.running = 32});
    BOOST_TEST(!place(request)->source.has_value());
}

BOOST_AUTO_TEST_CASE(among_thousands_a_session_finds_its_home_and_others_spread)
{
    for (int engine = 0; engine < 3000; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
    }
    const auto parts = session("s1");
    placement_request request{.of = &engines, .prompt_tokens = 11900, .parts = &parts};
    std::map<base::upstream_id, int> homes;
    std::map<base::upstream_id, int> others;
    for (int each = 0; each < 30; ++each)
    {
        request.draw = each / 30.0;
        request.parts = &parts;
        ++homes[place(request)->where.id];
        request.parts = nullptr;
        ++others[place(request)->where.id];
    }
    BOOST_TEST(homes.size() == 1U);
    BOOST_TEST(others.size() >= 25U);
}

// Guards against engines that idle as no request happens to be compared with them.
BOOST_AUTO_TEST_CASE(among_thousands_the_only_free_engine_is_found)
{
    for (int engine = 0; engine < 3000; ++engine)
    {
        add(engines, "e" + std::to_string(engine));
        if (engine != 1234)
        {
            board.begin(base::upstream_id("e" + std::to_string(engine)), {.running = 32});
        }
    }
    const auto parts = session("s1");
    const auto found =
        place({.of = &engines, .prompt_tokens = 11900, .parts = &parts, .draw = 0.9});
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->where.id.str() == "e1234");
}

BOOST_AUTO_TEST_SUITE_END()
