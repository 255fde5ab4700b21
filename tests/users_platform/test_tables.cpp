#include "table_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace users_platform_tests;
using run = stand_in_runner::run;

BOOST_FIXTURE_TEST_SUITE(tables, table_fixture)

BOOST_AUTO_TEST_CASE(a_router_that_knows_no_configuration_is_not_ready_and_says_503)
{
    store.away = true;
    auto& router = start_router("r1", false);
    BOOST_REQUIRE(becomes_true([&] { return store.calls["/rows-get"] > 1; }));

    BOOST_TEST(!router.ready());
    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "503"));
    store.away = false;
    BOOST_TEST(becomes_true([&] { return router.ready(); }));
}

BOOST_AUTO_TEST_CASE(a_new_version_comes_into_force)
{
    auto& router = start_router();
    accept(7, {{.prefix = "/b/"}});
    BOOST_REQUIRE(becomes_true([&] { return version(router) == 7; }));

    BOOST_TEST(answered(ask(router, "/b/", "id-1"), "200"));
    BOOST_TEST(answered(ask(router, "/a/", "id-2"), "404"));
}

// Symptom: a route that had been dropped worked again.
// Sequence: an older copy of the configuration arrived late.
BOOST_AUTO_TEST_CASE(an_older_version_never_comes_back)
{
    auto& router = start_router();
    accept(7, {{.prefix = "/b/"}});
    BOOST_REQUIRE(becomes_true([&] { return version(router) == 7; }));
    accept(5, {{.prefix = "/a/"}});
    add(second);
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-1 i-2 "; }));
    settle();

    BOOST_TEST(version(router) == 7);
}

BOOST_AUTO_TEST_CASE(a_draining_runner_gets_no_more)
{
    add(second);
    auto& router = start_router();
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-1 i-2 "; }));
    add(first, "plain", "draining");
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-2 "; }));

    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "200"));
    BOOST_TEST(first.runs.empty());
}

// Symptom: a router went on using a runner that had left.
// Sequence: the store dropped its history with the change in it.
BOOST_AUTO_TEST_CASE(a_change_in_forgotten_history_is_not_missed)
{
    add(second);
    auto& router = start_router();
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-1 i-2 "; }));
    store.away = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    store.put("servers", "i-1", first.entry("plain", "draining"));
    store.forget_history();
    store.away = false;

    BOOST_TEST(becomes_true([&] { return usable(router) == "i-2 "; }));
    BOOST_TEST(becomes_true([&] { return logged({"store_history_gone"}); }));
    BOOST_TEST(becomes_true([&] { return logged({"store_back", "upstreams"}); }));
}

BOOST_AUTO_TEST_CASE(routers_serve_while_the_store_is_away)
{
    auto& router = start_router();
    store.away = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));

    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "200"));
}

// Symptom: after an outage a fleet refused everything, though all runners lived.
// Sequence: the runners' entries lapsed during the outage.
BOOST_AUTO_TEST_CASE(entries_that_lapsed_in_an_outage_are_still_used_at_first)
{
    auto& router = start_router();
    store.away = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    store.remove("servers", "i-1");
    store.away = false;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_back", "upstreams"}); }));

    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "200"));
    BOOST_TEST(becomes_true([&] { return usable(router).empty(); }));
}

// Symptom: a router that started while the store was away served nobody until it was back.
BOOST_AUTO_TEST_CASE(a_cold_router_learns_from_a_peer_while_the_store_is_away)
{
    auto& warm = start_router("r1");
    store.away = true;
    seeds = {warm.options().control};
    auto& cold = start_router("r2", false);

    BOOST_TEST(becomes_true([&] { return cold.ready(); }));
    BOOST_TEST(version(cold) == 1);
    BOOST_TEST(answered(ask(cold, "/a/", "id-1"), "200"));
}

// Symptom: a key that had been taken away still worked at one router.
// Sequence: the store turned that router away and served the others; the key was taken away.
// Cause: only the store was asked for a new version.
BOOST_AUTO_TEST_CASE(a_router_that_the_store_turns_away_gets_a_change_from_a_peer)
{
    stand_in_store turns_away(loop, timers);
    turns_away.away = true;
    auto& served = start_router("r1");
    seeds = {served.options().control};
    auto& other = start_router_at(turns_away, "r2", true);
    BOOST_REQUIRE(answered(ask(other, "/a/", "id-1"), "200"));

    accept(2, {{.prefix = "/a/"}}, {"key-2"});

    BOOST_REQUIRE(becomes_true([&] { return version(other) == 2; }));
    BOOST_TEST(answered(ask(other, "/a/", "id-2"), "401"));
    BOOST_TEST(answered(ask(other, "/a/", "id-3", "Api-Key: key-2\r\n"), "200"));
    BOOST_TEST(becomes_true([&] { return logged({"\"configuration\"", "\"from\":\"peer\""}); }));
}

// Symptom: a router went down with a configuration that it couldn't read.
BOOST_AUTO_TEST_CASE(a_configuration_that_cannot_be_read_changes_nothing_and_is_told)
{
    auto& router = start_router();
    store.put("op", "config", "no configuration");

    BOOST_TEST(becomes_true([&] { return logged({"configuration_unreadable"}); }));
    BOOST_TEST(version(router) == 1);
    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "200"));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_of_the_store_leaves_the_routers_row_written)
{
    store.loses_answers = true;
    start_router();
    BOOST_REQUIRE(becomes_true([&] { return store.calls["/rows-tx"] >= 2; }));
    BOOST_TEST(store.has("caraway_routers", "r1"));
    store.loses_answers = false;
    BOOST_TEST(becomes_true([&] { return store.calls["/rows-get"] >= 3; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(planned_stops, table_fixture)

BOOST_AUTO_TEST_CASE(callers_are_told_of_all_routers_that_take_them)
{
    auto& one = start_router("r1");
    auto& other = start_router("r2");
    const auto listed = [&](caraway::router::daemon& at)
    {
        const auto end = http_tests::connect_to(loop, at.options().directory.port);
        end->say("GET /resolve?name=app.example&region=r&zone=z1 HTTP/1.1\r\nHost: x\r\n\r\n");
        becomes_true([&] { return end->heard.find('}') != std::string::npos; });
        return http_tests::count_of(end->heard, "127.0.0.1:");
    };
    BOOST_TEST(becomes_true([&] { return listed(one) == 2 && listed(other) == 2; }));

    one.stop();

    BOOST_TEST(becomes_true([&] { return listed(one) == 1 && listed(other) == 1; }));
}

// Symptom: a planned stop cut callers off.
// Sequence: SIGTERM came while a request was being answered and while callers still held an old
// list.
BOOST_AUTO_TEST_CASE(a_stop_finishes_what_is_in_flight_and_serves_callers_with_an_old_list)
{
    auto& router = start_router();
    first.next.push_back([](stand_in_runner&, const run&) {});
    const auto running = ask(router, "/a/", "id-1");
    BOOST_REQUIRE(becomes_true([&] { return first.runs.size() == 1; }));

    router.stop();

    const auto probe = http_tests::connect_to(loop, router.options().readiness.port);
    probe->say("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(answered(probe, "503"));
    const auto late = ask(router, "/a/", "id-2");
    BOOST_TEST(answered(late, "200"));
    BOOST_TEST(late->heard.find("Connection: close") != std::string::npos);
    first.succeed(first.runs[0], "at last");
    BOOST_TEST(answered(running, "200"));
    BOOST_TEST(becomes_true([&] { return router.ended(); }));
    BOOST_TEST(logged({"\"event\":\"end\"", "\"unfinished\":0"}));
}

// Symptom: a router sent requests to an address that no runner of the service had.
// Sequence: somebody else wrote an entry, with a field missing, of another type, or a word that
// isn't one of the platform's.
// Cause: what was missing was taken for a usual value.
BOOST_AUTO_TEST_CASE(entries_of_other_writers_name_no_upstream_and_the_others_hold)
{
    const auto good = nlohmann::json::parse(second.entry("plain"));
    int number = 0;
    const auto put = [&](const std::string& value)
    {
        store.put("servers", "x-" + std::to_string(++number), value);
    };
    for (const auto& [name, value] : good.items())
    {
        if (name == "sequence")
        {
            continue;
        }
        auto without = good;
        without.erase(name);
        put(without.dump());
        for (const auto& wrong : nlohmann::json::parse(R"([null, true, -1, 1.5, [], {}, 7, "x"])"))
        {
            const bool fits = wrong.is_number_unsigned() ? value.is_number()
                                                         : wrong.is_string() && name != "address" &&
                                                               name != "state" && value.is_string();
            auto changed = good;
            changed[name] = wrong;
            if (!fits)
            {
                put(changed.dump());
            }
        }
    }
    for (const auto* text : {"", "{", "[]", "null", "7", "\xff\xfe", R"({"backend":"\xff"})"})
    {
        put(text);
    }
    auto early = good;
    early["born"] = "yesterday";
    put(early.dump());
    auto& router = start_router();

    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-1 "; }));
    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "200"));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_unreadable", "x-1"}); }));
}

// Symptom: requests went to a runner whose entry somebody had written over.
// Cause: an entry that couldn't be read left the one before in force.
BOOST_AUTO_TEST_CASE(an_entry_that_turns_bad_names_no_upstream_until_it_is_good_again)
{
    add(second);
    auto& router = start_router();
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-1 i-2 "; }));

    store.put("servers", "i-2", R"({"backend":"plain"})");
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-1 "; }));
    store.put("servers", "i-2", R"({"backend":"plain","state":3})");
    add(second);
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-1 i-2 "; }));

    const auto complaints = std::count_if(
        lines.begin(), lines.end(),
        [](const std::string& line) { return line.find("upstream_unreadable") != line.npos; });
    BOOST_TEST(complaints == 1);
}

// Symptom: a router kept believing of a runner what its process before had held and done.
// Sequence: it crashed and started again under the same id.
// Cause: an id was taken for one life.
BOOST_AUTO_TEST_CASE(a_runner_that_starts_again_under_its_id_is_known_to_be_new)
{
    const auto entry = [&](std::uint64_t born)
    {
        auto of = nlohmann::json::parse(first.entry("plain"));
        of["born"] = born;
        return of.dump();
    };
    store.put("servers", "i-1", entry(1000));
    auto& router = start_router();
    BOOST_REQUIRE(answered(ask(router, "/a/", "id-1"), "200"));

    store.put("servers", "i-1", entry(2000));
    BOOST_REQUIRE(becomes_true([&] { return logged({"upstream_restarted", "i-1", "2000"}); }));
    BOOST_TEST(answered(ask(router, "/a/", "id-2"), "200"));
    store.put("servers", "i-1", entry(1000));
    add(second);
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-1 i-2 "; }));

    BOOST_TEST(!logged({"upstream_restarted", R"("born":1000)"}));
}

BOOST_AUTO_TEST_SUITE_END()
