#include "table_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace users_platform_tests;
using run = stand_in_runner::run;

BOOST_FIXTURE_TEST_SUITE(tables, table_fixture)

BOOST_AUTO_TEST_CASE(a_router_without_configuration_is_not_ready_and_answers_503)
{
    store.unavailable = true;
    auto& router = start_router("r1", false);
    BOOST_REQUIRE(becomes_true([&] { return store.calls["/rows-get"] > 1; }));

    BOOST_TEST(!router.ready());
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "503"));
    store.unavailable = false;
    BOOST_TEST(becomes_true([&] { return router.ready(); }));
}

BOOST_AUTO_TEST_CASE(a_new_version_is_applied)
{
    auto& router = start_router();
    accept_configuration(7, {{.prefix = "/b/"}});
    BOOST_REQUIRE(becomes_true([&] { return version(router) == 7; }));

    BOOST_TEST(receives_status(send_request(router, "/b/", "id-1"), "200"));
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-2"), "404"));
}

// Guards against restoring a removed route when an older copy of the configuration arrives late.
BOOST_AUTO_TEST_CASE(an_older_version_is_never_applied)
{
    auto& router = start_router();
    accept_configuration(7, {{.prefix = "/b/"}});
    BOOST_REQUIRE(becomes_true([&] { return version(router) == 7; }));
    accept_configuration(5, {{.prefix = "/a/"}});
    add_upstream(second);
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }));
    settle();

    BOOST_TEST(version(router) == 7);
}

BOOST_AUTO_TEST_CASE(a_draining_runner_gets_no_more_requests)
{
    add_upstream(second);
    auto& router = start_router();
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }));
    add_upstream(first, "plain", "draining");
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-2 "; }));

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "200"));
    BOOST_TEST(first.runs.empty());
}

// Guards against a router that keeps using a runner that has left because the store has discarded
// the history that contains the change.
BOOST_AUTO_TEST_CASE(a_change_in_discarded_history_is_not_missed)
{
    add_upstream(second);
    auto& router = start_router();
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }));
    store.unavailable = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    store.put("servers", "i-1", first.entry("plain", "draining"));
    store.discard_history();
    store.unavailable = false;

    BOOST_TEST(becomes_true([&] { return usable_upstreams(router) == "i-2 "; }));
    BOOST_TEST(becomes_true([&] { return logged({"store_history_gone"}); }));
    BOOST_TEST(becomes_true([&] { return logged({"store_back", "upstreams"}); }));
}

BOOST_AUTO_TEST_CASE(routers_serve_while_the_store_is_unavailable)
{
    auto& router = start_router();
    store.unavailable = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "200"));
}

// Guards against a fleet that rejects all requests after an outage of the store although all
// runners are up: the runners' entries expired during the outage.
BOOST_AUTO_TEST_CASE(entries_that_expired_in_an_outage_are_still_used_at_first)
{
    auto& router = start_router();
    store.unavailable = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    store.remove("servers", "i-1");
    store.unavailable = false;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_back", "upstreams"}); }));

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "200"));
    BOOST_TEST(becomes_true([&] { return usable_upstreams(router).empty(); }));
}

// Guards against requests to a runner for three seconds after it left: the connection to the store
// fell silent just then, which the router took for an outage of the store.
BOOST_AUTO_TEST_CASE(
    a_runner_that_leaves_while_the_connection_is_silent_is_used_no_longer_than_it_serves)
{
    heartbeat = std::chrono::milliseconds(1200);
    add_upstream(second);
    auto& router = start_router();
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }));
    BOOST_REQUIRE(becomes_true([&] { return store.holds_call("servers"); }));
    store.silence_held_calls();
    store.remove("servers", "i-1");
    const auto accepted = clock.now();

    BOOST_TEST(becomes_true([&] { return usable_upstreams(router) == "i-2 "; }));

    BOOST_TEST((clock.now() - accepted < router.options().leaving_notice));
    BOOST_TEST(logged({"store_lost", "upstreams"}));
}

// The same as a true outage, as long as a silent connection takes to be noticed.
BOOST_AUTO_TEST_CASE(entries_that_can_have_expired_in_an_outage_are_still_used_at_first)
{
    heartbeat = std::chrono::milliseconds(600);
    auto& router = start_router();
    store.unresponsive = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    store.remove("servers", "i-1");
    store.unresponsive = false;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_back", "upstreams"}); }));

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "200"));
    BOOST_TEST(usable_upstreams(router) == "i-1 ");
    BOOST_TEST(becomes_true([&] { return usable_upstreams(router).empty(); }));
}

// Guards against a router that starts while the store is unavailable and serves no request until
// the store recovers.
BOOST_AUTO_TEST_CASE(a_starting_router_gets_tables_from_a_peer_while_the_store_is_unavailable)
{
    auto& running_router = start_router("r1");
    store.unavailable = true;
    seeds = {running_router.options().control};
    auto& starting = start_router("r2", false);

    BOOST_TEST(becomes_true([&] { return starting.ready(); }));
    BOOST_TEST(version(starting) == 1);
    BOOST_TEST(receives_status(send_request(starting, "/a/", "id-1"), "200"));
}

// Guards against a revoked key that is still accepted by one router: the store rejected the calls
// of that router only while the key was revoked, and new versions were requested only from the
// store.
BOOST_AUTO_TEST_CASE(a_router_rejected_by_the_store_gets_a_change_from_a_peer)
{
    stand_in_store unavailable_store(loop, timers);
    unavailable_store.unavailable = true;
    auto& serving_router = start_router("r1");
    seeds = {serving_router.options().control};
    auto& other = start_router_at(unavailable_store, "r2", true);
    BOOST_REQUIRE(receives_status(send_request(other, "/a/", "id-1"), "200"));

    accept_configuration(2, {{.prefix = "/a/"}}, {"key-2"});

    BOOST_REQUIRE(becomes_true([&] { return version(other) == 2; }));
    BOOST_TEST(receives_status(send_request(other, "/a/", "id-2"), "401"));
    BOOST_TEST(receives_status(send_request(other, "/a/", "id-3", "Api-Key: key-2\r\n"), "200"));
    BOOST_TEST(becomes_true([&] { return logged({"\"configuration\"", "\"from\":\"peer\""}); }));
}

// Guards against a router that crashes on a configuration that can't be decoded.
BOOST_AUTO_TEST_CASE(an_unreadable_configuration_is_logged_and_changes_nothing)
{
    auto& router = start_router();
    store.put("op", "config", "no configuration");

    BOOST_TEST(becomes_true([&] { return logged({"configuration_unreadable"}); }));
    BOOST_TEST(version(router) == 1);
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "200"));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_of_the_store_leaves_the_routers_row_written)
{
    store.drops_answers = true;
    start_router();
    BOOST_REQUIRE(becomes_true([&] { return store.calls["/rows-tx"] >= 2; }));
    BOOST_TEST(store.has_row("caraway_routers", "r1"));
    store.drops_answers = false;
    BOOST_TEST(becomes_true([&] { return store.calls["/rows-get"] >= 3; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(planned_stops, table_fixture)

BOOST_AUTO_TEST_CASE(the_directory_lists_all_routers_that_accept_callers)
{
    auto& stopped = start_router("r1");
    auto& other = start_router("r2");
    const auto listed_count = [&](caraway::router::daemon& router)
    {
        const auto end = http_tests::connect_to(loop, router.options().directory.port);
        end->send("GET /resolve?name=app.example&region=r&zone=z1 HTTP/1.1\r\nHost: x\r\n\r\n");
        becomes_true([&] { return end->received.find('}') != std::string::npos; });
        return http_tests::count_of(end->received, "127.0.0.1:");
    };
    BOOST_TEST(
        becomes_true([&] { return listed_count(stopped) == 2 && listed_count(other) == 2; }));

    stopped.stop();

    BOOST_TEST(
        becomes_true([&] { return listed_count(stopped) == 1 && listed_count(other) == 1; }));
}

// Guards against a planned stop that disconnects callers: SIGTERM arrived while a request was in
// flight and while callers still had a stale list of routers.
BOOST_AUTO_TEST_CASE(a_stop_finishes_requests_in_flight_and_serves_callers_with_a_stale_list)
{
    auto& router = start_router();
    first.next_behaviours.push_back([](stand_in_runner&, const run&) {});
    const auto running = send_request(router, "/a/", "id-1");
    BOOST_REQUIRE(becomes_true([&] { return first.runs.size() == 1; }));

    router.stop();

    const auto probe = http_tests::connect_to(loop, router.options().readiness.port);
    probe->send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(receives_status(probe, "503"));
    const auto late = send_request(router, "/a/", "id-2");
    BOOST_TEST(receives_status(late, "200"));
    BOOST_TEST(late->received.find("Connection: close") != std::string::npos);
    first.succeed(first.runs[0], "at last");
    BOOST_TEST(receives_status(running, "200"));
    BOOST_TEST(becomes_true([&] { return router.ended(); }));
    BOOST_TEST(logged({"\"event\":\"end\"", "\"unfinished\":0"}));
}

// Guards against requests to an address that no runner of the service has: another writer wrote an
// entry with a field that was missing, of another type or of an unknown value, and the router used
// a default in place of the missing field.
BOOST_AUTO_TEST_CASE(malformed_entries_are_ignored_and_the_others_remain_valid)
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
        for (const auto& wrong_value :
             nlohmann::json::parse(R"([null, true, -1, 1.5, [], {}, 7, "x"])"))
        {
            const bool fits = wrong_value.is_number_unsigned()
                                  ? value.is_number()
                                  : wrong_value.is_string() && name != "address" &&
                                        name != "state" && value.is_string();
            auto changed = good;
            changed[name] = wrong_value;
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
    auto wrong_start = good;
    wrong_start["born"] = "yesterday";
    put(wrong_start.dump());
    auto& router = start_router();

    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 "; }));
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "200"));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_unreadable", "x-1"}); }));
}

// Guards against requests to a runner whose entry was overwritten by a malformed one: the router
// kept using the previous entry.
BOOST_AUTO_TEST_CASE(an_entry_that_becomes_malformed_names_no_upstream_until_it_is_valid_again)
{
    add_upstream(second);
    auto& router = start_router();
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }));

    store.put("servers", "i-2", R"({"backend":"plain"})");
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 "; }));
    store.put("servers", "i-2", R"({"backend":"plain","state":3})");
    add_upstream(second);
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }));

    const auto unreadable_count = std::count_if(
        log_lines.begin(), log_lines.end(),
        [](const std::string& line) { return line.find("upstream_unreadable") != line.npos; });
    BOOST_TEST(unreadable_count == 1);
}

// Guards against attributing the cached prompts and the history of a runner's previous process to
// the runner after it crashed and restarted under the same id: the id alone identified the
// incarnation.
BOOST_AUTO_TEST_CASE(a_runner_restarted_under_its_id_is_detected_as_a_new_process)
{
    const auto entry = [&](std::uint64_t process_start)
    {
        auto row_value = nlohmann::json::parse(first.entry("plain"));
        row_value["born"] = process_start;
        return row_value.dump();
    };
    store.put("servers", "i-1", entry(1000));
    auto& router = start_router();
    BOOST_REQUIRE(receives_status(send_request(router, "/a/", "id-1"), "200"));

    store.put("servers", "i-1", entry(2000));
    BOOST_REQUIRE(becomes_true([&] { return logged({"upstream_restarted", "i-1", "2000"}); }));
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-2"), "200"));
    store.put("servers", "i-1", entry(1000));
    add_upstream(second);
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 "; }));

    BOOST_TEST(!logged({"upstream_restarted", R"("born":1000)"}));
}

BOOST_AUTO_TEST_SUITE_END()
