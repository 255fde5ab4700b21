#include "router_fixture.hpp"

#include "paced_clock.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace users_platform_tests;
using run = stand_in_runner::run;

namespace
{

struct table_fixture : router_fixture
{
    stand_in_runner first{loop, timers, "i-1"};
    stand_in_runner second{loop, timers, "i-2"};

    table_fixture()
    {
        accept(1, {{.prefix = "/a/"}});
        add(first);
    }

    static std::uint64_t version(caraway::router::daemon& router)
    {
        return router.state()["version"].get<std::uint64_t>();
    }
};

/// Some dozen routers on the one loop, which must not take themselves for overloaded on a machine
/// that is busy with other things.
struct fleet_fixture : table_fixture
{
    paced_clock paced;
    caraway::http::timer_queue paced_timers{loop, paced};

    fleet_fixture()
    {
        router_clock = &paced;
        router_timers = &paced_timers;
    }
    ~fleet_fixture()
    {
        routers.clear();
    }

    bool comes_true(const std::function<bool()>& condition)
    {
        constexpr std::chrono::milliseconds pause(50);
        constexpr int looks = 200;
        for (int look = 0; look < looks && !condition(); ++look)
        {
            wait_for(pause);
        }
        return condition();
    }

    void wait_for(std::chrono::milliseconds span)
    {
        const auto until = paced.now() + span;
        while (paced.now() < until)
        {
            paced.turn(loop);
        }
    }
};

}  // namespace

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

// Routers that start at one moment must not each read all tables from the store.
BOOST_FIXTURE_TEST_CASE(a_start_and_a_new_configuration_cost_the_store_few_calls, fleet_fixture)
{
    // 1,000 calls for 295 routers, the start and a minute: what is bearable.
    constexpr double calls_a_router = 1000.0 / 295;
    constexpr int fleet = 24;
    start_router("r1", false);
    BOOST_REQUIRE(comes_true([&] { return routers.front()->ready(); }));
    seeds = {routers.front()->options().control};
    for (int number = 2; number <= fleet; ++number)
    {
        start_router("r" + std::to_string(number), false);
    }
    const auto all = [&](const auto& holds)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& each) { return holds(*each); });
    };
    const auto calls = [&]
    {
        int sum = 0;
        for (const auto& [path, count] : store.calls)
        {
            sum += count;
        }
        return sum;
    };
    BOOST_REQUIRE(comes_true([&] { return all([](auto& each) { return each.ready(); }); }));
    wait_for(std::chrono::seconds(4));
    BOOST_TEST(calls() <= calls_a_router * fleet);
    BOOST_TEST(all([](auto& each) { return each.state()["peers"].size() == fleet - 1; }));

    const auto before = calls();
    accept(2, {{.prefix = "/b/"}});
    BOOST_REQUIRE(comes_true([&] { return all([](auto& each) { return version(each) == 2; }); }));
    wait_for(std::chrono::seconds(1));
    BOOST_TEST(calls() - before <= fleet / 2);
}

// A start must not fill the logs with a line for each router and upstream.
BOOST_AUTO_TEST_CASE(a_first_listing_of_upstreams_is_one_line)
{
    constexpr int all = 30;
    for (int number = 3; number <= all; ++number)
    {
        store.put("servers", "i-" + std::to_string(number), second.entry("plain"));
    }
    start_router("r1");
    BOOST_REQUIRE(becomes_true([&] { return logged({"\"upstreams\"", "i-1,", "i-30,"}); }));
    BOOST_TEST(!logged({"\"event\":\"upstream\""}));

    add(first, "plain", "draining");
    BOOST_TEST(becomes_true([&] { return logged({"\"event\":\"upstream\"", "i-1"}); }));
}

// A start that relies on others must not wait for them for good.
BOOST_AUTO_TEST_CASE(a_router_whose_seeds_are_gone_asks_the_store)
{
    seeds = {{.ip = "127.0.0.1", .port = 1}};
    auto& router = start_router("r1", false);

    BOOST_TEST(becomes_true([&] { return router.ready(); }));
}

// The same where they answer and know nothing themselves.
BOOST_AUTO_TEST_CASE(a_router_whose_seeds_know_nothing_asks_the_store)
{
    stand_in_store turns_away(loop, timers);
    turns_away.away = true;
    auto& ignorant = start_router_at(turns_away, "r1", false);
    seeds = {ignorant.options().control};
    auto& router = start_router("r2", false);

    BOOST_TEST(becomes_true([&] { return router.ready(); }));
}

// A dropped route must not go on working when the routers that ask the store are gone.
BOOST_AUTO_TEST_CASE(a_new_configuration_reaches_all_when_those_that_ask_are_gone)
{
    for (int number = 1; number <= 7; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto asks = [](const auto& each)
    {
        return each->state()["asks_store"].template get<bool>();
    };
    const auto asking = [&]
    {
        return std::count_if(routers.begin(), routers.end(), asks);
    };
    BOOST_REQUIRE(becomes_true([&] { return asking() == 2; }));
    std::erase_if(routers, asks);
    accept(2, {{.prefix = "/b/"}});
    const auto accepted = clock.now();

    BOOST_REQUIRE(becomes_true(
        [&]
        {
            return std::all_of(routers.begin(), routers.end(),
                               [](const auto& each) { return version(*each) == 2; });
        }));
    // As long as an upstream that leaves goes on serving: the shortest time in which changes must
    // have reached all.
    BOOST_TEST((clock.now() - accepted < routers.front()->options().leaving_notice));
}

// Symptom: sixty routers asked the store sixty times as often as one would have to.
// Then: a router sent requests to a runner that had left, and believed for good that the store was
// away; it had stopped asking while its last call was under way, and that call failed.
BOOST_AUTO_TEST_CASE(two_routers_of_a_zone_ask_the_store_and_all_know_what_changes)
{
    add(second);
    for (int number = 1; number <= 6; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto asking = [&]
    {
        return std::count_if(routers.begin(), routers.end(),
                             [](const auto& each)
                             { return each->state()["asks_store"].template get<bool>(); });
    };
    const auto all_use = [&](const std::string& ids)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& each) { return usable(*each) == ids; });
    };
    BOOST_REQUIRE(becomes_true([&] { return asking() == 2 && all_use("i-1 i-2 "); }));

    store.remove("servers", "i-2");
    BOOST_TEST(becomes_true([&] { return all_use("i-1 "); }));
    add(second);
    BOOST_TEST(becomes_true([&] { return all_use("i-1 i-2 "); }));
    store.away = true;
    BOOST_TEST(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    BOOST_TEST(all_use("i-1 i-2 "));
    store.away = false;
    add(second, "plain", "draining");
    BOOST_TEST(becomes_true([&] { return all_use("i-1 "); }));
}

// Guards against a busy router that hands whole tables to all of its zone at each change.
BOOST_AUTO_TEST_CASE(those_that_do_not_ask_the_store_are_told_only_what_changed)
{
    stand_in_runner third{loop, timers, "i-3"};
    for (int number = 1; number <= 6; ++number)
    {
        start_router("r" + std::to_string(number));
    }
    const auto all_use = [&](const std::string& ids)
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto& each) { return usable(*each) == ids; });
    };
    const auto copies = [&](bool partial)
    {
        const std::string part = partial ? "\"partial\":true" : "\"partial\":false";
        int count = 0;
        for (const auto& each : lines)
        {
            for (auto at = each.find(part); at != std::string::npos; at = each.find(part, at + 1))
            {
                ++count;
            }
        }
        return count;
    };
    BOOST_REQUIRE(becomes_true([&] { return all_use("i-1 "); }));
    add(second);
    BOOST_REQUIRE(becomes_true([&] { return all_use("i-1 i-2 "); }));

    constexpr int turns = 8;
    for (int turn = 0; turn < turns; ++turn)
    {
        add(third);
        BOOST_REQUIRE(becomes_true([&] { return all_use("i-1 i-2 i-3 "); }));
        store.remove("servers", "i-3");
        BOOST_REQUIRE(becomes_true([&] { return all_use("i-1 i-2 "); }));
    }

    // The first copy of each of the two that ask is whole.
    constexpr int others = 4;
    BOOST_TEST(copies(false) <= 2 * others);
    BOOST_TEST(copies(true) >= turns * others);
}

BOOST_AUTO_TEST_SUITE_END()
