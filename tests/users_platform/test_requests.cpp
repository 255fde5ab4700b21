#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
namespace http = caraway::http;
using caraway::base::zone_id;
using run = stand_in_runner::run;

namespace
{

struct request_fixture : router_fixture
{
    stand_in_runner first{loop, timers, "i-1"};
    stand_in_runner second{loop, timers, "i-2"};

    /// One route, and the runners that serve it.
    caraway::router::daemon& serve(const route_spec& route, bool both = false)
    {
        accept(1, {route});
        add(first, route.service);
        if (both)
        {
            add(second, route.service);
        }
        auto& router = start_router();
        BOOST_REQUIRE(becomes_true([&] { return knows_upstreams(router, both ? 2 : 1); }));
        return router;
    }

    static bool knows_upstreams(caraway::router::daemon& router, std::size_t count)
    {
        return router.state()["upstreams"].size() == count;
    }

    std::size_t runs() const
    {
        return first.runs.size() + second.runs.size();
    }
};

void close_without_answer(stand_in_runner&, const run& of)
{
    of.exchange->abort();
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(requests, request_fixture)

BOOST_AUTO_TEST_CASE(a_request_reaches_a_runner_and_its_answer_comes_back_unchanged)
{
    auto& router = serve({.prefix = "/a/"});
    const auto end = ask(router, "/a/b?c=d", "id-1",
                         "Api-Key: key-1\r\nX-Deadline-Ms: 800\r\nX-Other: kept\r\n");

    BOOST_REQUIRE(answered(end, "200"));
    BOOST_TEST(end->heard.ends_with("\r\n\r\nfrom i-1"));
    BOOST_TEST(end->heard.find("X-Response-Seal: seal of i-1") != std::string::npos);
    BOOST_REQUIRE(first.runs.size() == 1);
    const auto& ran = first.runs[0];
    BOOST_TEST(ran.method == "POST");
    BOOST_TEST(ran.target == "/a/b?c=d");
    BOOST_TEST(ran.body == "body");
    BOOST_TEST(ran.id == "id-1");
    BOOST_TEST(ran.head["X-Other"] == "kept");
    BOOST_TEST(ran.head["X-Tenant"] == "north");
    BOOST_TEST((ran.head.find("Api-Key") == ran.head.end()));
    const auto left = std::stoi(std::string(ran.head["X-Deadline-Ms"]));
    BOOST_TEST(left <= 800);
    BOOST_TEST(left > 400);
    BOOST_TEST(becomes_true(
        [&] {
            return logged({R"("event":"request")", R"("request":"id-1")", R"("status":200)"});
        }));
}

// Symptom: a caller acted as another workspace, or took hold of an engine's memory.
// Sequence: it sent fields that only routers may send, also by naming a needed one in Connection.
BOOST_AUTO_TEST_CASE(fields_that_are_the_routers_to_set_are_not_passed_on)
{
    auto& router = serve({.prefix = "/a/"});
    const auto end = ask(router, "/a/", "id-1",
                         "Api-Key: key-1\r\nX-Tenant: south\r\nX-Hold: h\r\nX-Pin-Ms: 9\r\n"
                         "X-Kv-Backup: 1.2.3.4:5\r\nKv-From: 1.2.3.4:5/h\r\nKv-Fetch: 1.2.3.4:5\r\n"
                         "X-Expect-Instance: i-9\r\nConnection: X-Request-Id, X-Model\r\n"
                         "X-Model: m\r\n");

    BOOST_REQUIRE(answered(end, "200"));
    const auto& head = first.runs.at(0).head;
    for (const auto* name :
         {"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "Connection"})
    {
        BOOST_TEST((head.find(name) == head.end()), name);
    }
    BOOST_TEST(head["X-Tenant"] == "north");
    BOOST_TEST(head["X-Model"] == "m");
    BOOST_TEST(head.count("X-Expect-Instance") == 1);
}

BOOST_AUTO_TEST_CASE(unknown_routes_and_keys_are_told_apart)
{
    auto& router = serve({.prefix = "/a/"});

    BOOST_TEST(answered(ask(router, "/b/", "id-1"), "404"));
    BOOST_TEST(answered(ask(router, "/a/", "id-2", "Api-Key: key-9\r\n"), "401"));
    BOOST_TEST(answered(ask(router, "/a/", "id-3", ""), "401"));
    BOOST_TEST(runs() == 0);
}

BOOST_AUTO_TEST_CASE(an_anonymous_route_needs_no_key)
{
    auto& router = serve({.prefix = "/a/", .anonymous = true});

    BOOST_TEST(answered(ask(router, "/a/", "id-1", "X-Tenant: south\r\n"), "200"));
    BOOST_TEST((first.runs.at(0).head.find("X-Tenant") == first.runs.at(0).head.end()));
}

// Symptom: a pickup was confirmed twice.
// Sequence: the runner ran it, its answer was lost with its connection, the router sent it again.
BOOST_AUTO_TEST_CASE(what_is_not_idempotent_is_sent_once_though_its_answer_is_lost)
{
    auto& router = serve({.prefix = "/a/", .max_attempts = 3}, true);
    first.next.push_back(close_without_answer);
    second.next.push_back(close_without_answer);

    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "502"));
    BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_goes_to_another_runner)
{
    auto& router = serve({.prefix = "/a/", .kind = "safe", .max_attempts = 2}, true);
    first.next.push_back(close_without_answer);
    second.next.push_back(close_without_answer);

    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "502"));
    BOOST_TEST(first.runs.size() == 1);
    BOOST_TEST(second.runs.size() == 1);
    BOOST_TEST(answered(ask(router, "/a/", "id-2"), "200"));
}

// Symptom: a caller was told "not run", came back, and its payment ran twice.
// Sequence: a runner failed after it had run the request and answered with a status by which
// routers promise that nothing ran.
BOOST_AUTO_TEST_CASE(a_runners_own_503_after_a_run_is_not_passed_on_as_a_promise)
{
    auto& router = serve({.prefix = "/a/"});
    first.next.push_back(
        [](stand_in_runner&, const run& of)
        {
            auto head = caraway::http::make_response(caraway::http::status::service_unavailable);
            head.set("X-Request-Id", of.id);
            head.set("X-Response-Seal", "seal");
            of.exchange->respond(std::move(head), "busy");
        });
    const auto end = ask(router, "/a/", "id-1");

    BOOST_TEST(answered(end, "502"));
    BOOST_TEST(end->heard.find("X-Response-Seal") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_to_come_back)
{
    auto& router = serve({.prefix = "/a/"});
    first.next.push_back([](stand_in_runner& runner, const run& of) { runner.refuse(of); });
    const auto end = ask(router, "/a/", "id-1");

    BOOST_TEST(answered(end, "503"));
    BOOST_TEST(end->heard.find("Retry-After: ") != std::string::npos);
}

// Symptom: a request was run by a service that its route doesn't lead to.
// Sequence: a runner ended; its address was given to a runner of another service.
BOOST_AUTO_TEST_CASE(an_address_that_another_instance_has_is_used_no_more)
{
    auto& router = serve({.prefix = "/a/"});
    first.instance = "i-other";

    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "503"));
    BOOST_TEST(answered(ask(router, "/a/", "id-2"), "503"));
    BOOST_TEST(first.runs.empty());
    BOOST_TEST(first.arrivals == 1);
}

BOOST_AUTO_TEST_CASE(a_failure_of_a_run_is_passed_on_as_it_is)
{
    auto& router = serve({.prefix = "/a/"});
    first.next.push_back([](stand_in_runner& runner, const run& of) { runner.fail(of); });
    const auto end = ask(router, "/a/", "id-1");

    BOOST_TEST(answered(end, "500"));
    BOOST_TEST(end->heard.find("X-Response-Seal: seal of i-1") != std::string::npos);
    BOOST_TEST(end->heard.ends_with("failed"));
}

BOOST_AUTO_TEST_CASE(an_answer_without_proof_is_not_passed_on)
{
    auto& router = serve({.prefix = "/a/"});
    first.next.push_back(
        [](stand_in_runner&, const run& of)
        {
            auto head = caraway::http::make_response(caraway::http::status::ok);
            head.set("X-Request-Id", of.id);
            of.exchange->respond(std::move(head), "rubbish");
        });
    const auto end = ask(router, "/a/", "id-1");

    BOOST_TEST(answered(end, "502"));
    BOOST_TEST(end->heard.find("rubbish") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_sent_and_not_answered_in_time_is_unknown)
{
    auto& router = serve({.prefix = "/a/", .timeout_ms = 150});
    first.next.push_back([](stand_in_runner&, const run&) {});

    BOOST_TEST(answered(ask(router, "/a/", "id-1"), "504"));
    BOOST_TEST(becomes_true([&] { return *first.runs.at(0).cancelled; }));
}

// Symptom: runners worked on for callers that had left.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_its_run)
{
    auto& router = serve({.prefix = "/a/"});
    first.next.push_back([](stand_in_runner&, const run&) {});
    const auto end = ask(router, "/a/", "id-1");
    BOOST_REQUIRE(becomes_true([&] { return runs() == 1; }));

    end->close();

    BOOST_TEST(becomes_true([&] { return *first.runs.at(0).cancelled; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(streams, request_fixture)

const route_spec resumable_stream{.prefix = "/s/",
                                  .kind = "streaming",
                                  .service = "engines",
                                  .max_attempts = 2,
                                  .resumable = true};
const std::string engine_fields =
    "Api-Key: key-1\r\nX-Model: m\r\nX-Token-Count: 100,40\r\nX-Prefix-Hash: aa:40,bb:60\r\n";

BOOST_AUTO_TEST_CASE(an_upstream_is_told_whom_to_fetch_from_by_the_router_alone)
{
    http::request_head head;
    head.method(http::verb::post);
    head.target("/s/");
    head.set("Kv-Fetch", "1.2.3.4:5");
    const auto protocol = caraway::platform::caller_protocol();
    const caraway::router::forward_options terms{.instance = caraway::base::upstream_id("i-1")};
    BOOST_TEST(protocol.forward(head, "", terms).find("Kv-Fetch") == std::string::npos);

    auto with_source = terms;
    with_source.fetch_from = caraway::routing::endpoint{.ip = "10.0.0.9", .port = 80};
    const auto message = protocol.forward(head, "", with_source);
    BOOST_TEST(message.find("Kv-Fetch: 10.0.0.9:80\r\n") != std::string::npos);
    BOOST_TEST(message.find("1.2.3.4") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(events_are_passed_on_as_they_come)
{
    auto& router = serve({.prefix = "/s/", .kind = "streaming", .service = "engines"});
    first.next.push_back(
        [](stand_in_runner& runner, const run& of)
        {
            runner.begin_stream(of);
            runner.event(of, 1);
        });
    const auto end = ask(router, "/s/", "id-1", engine_fields);
    BOOST_REQUIRE(becomes_true([&] { return end->heard.find("id: 1\n") != std::string::npos; }));

    first.event(first.runs[0], 2);
    BOOST_REQUIRE(becomes_true([&] { return end->heard.find("id: 2\n") != std::string::npos; }));
    BOOST_TEST(!end->heard.ends_with("0\r\n\r\n"));
    first.runs[0].exchange->finish();

    BOOST_TEST(becomes_true([&] { return end->heard.ends_with("0\r\n\r\n"); }));
}

// Symptom: a piece of a stream was missing, or came twice.
// Sequence: a runner died in the middle of an event; another one went on.
BOOST_AUTO_TEST_CASE(a_stream_that_breaks_off_goes_on_at_another_runner)
{
    auto& router = serve(resumable_stream, true);
    const auto break_off = [](stand_in_runner& runner, const run& of)
    {
        runner.begin_stream(of);
        runner.event(of, 1);
        of.exchange->write("id: 2\nda");
        of.exchange->abort();
    };
    const auto go_on = [](stand_in_runner& runner, const run& of)
    {
        if (of.head["Last-Event-Id"] != "1")
        {
            runner.fail(of);
            return;
        }
        runner.begin_stream(of);
        runner.event(of, 1);
        runner.event(of, 2);
        runner.event(of, 3);
        of.exchange->finish();
    };
    bool broken = false;
    const auto act = [&](stand_in_runner& runner, const run& of)
    {
        if (broken)
        {
            go_on(runner, of);
            return;
        }
        broken = true;
        break_off(runner, of);
    };
    first.next.push_back(act);
    second.next.push_back(act);
    const auto end = ask(router, "/s/", "id-1", engine_fields);

    BOOST_REQUIRE(becomes_true([&] { return end->heard.ends_with("0\r\n\r\n"); }));
    for (const auto* id : {"id: 1\n", "id: 2\n", "id: 3\n"})
    {
        BOOST_TEST(http_tests::count_of(end->heard, id) == 1, id);
    }
    BOOST_TEST(end->heard.find("id: 2\nda\n") == std::string::npos);
    BOOST_TEST(http_tests::count_of(end->heard, "HTTP/1.1 200") == 1);
}

// Symptom: a stream that had lost its last events looked complete.
BOOST_AUTO_TEST_CASE(a_stream_that_nobody_can_go_on_with_is_broken_off)
{
    auto& router = serve(
        {.prefix = "/s/", .kind = "streaming", .service = "engines", .max_attempts = 2}, true);
    const auto break_off = [](stand_in_runner& runner, const run& of)
    {
        runner.begin_stream(of);
        runner.event(of, 1);
        of.exchange->abort();
    };
    first.next.push_back(break_off);
    second.next.push_back(break_off);
    const auto end = ask(router, "/s/", "id-1", engine_fields);

    BOOST_REQUIRE(becomes_true([&] { return end->ended; }));
    BOOST_TEST(end->heard.find("id: 1\n") != std::string::npos);
    BOOST_TEST(!end->heard.ends_with("0\r\n\r\n"));
    BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_CASE(a_stream_that_did_not_begin_is_sent_again_only_if_it_may_be_resumed)
{
    auto& router = serve(resumable_stream, true);
    bool failed = false;
    const auto act = [&](stand_in_runner& runner, const run& of)
    {
        if (!failed)
        {
            failed = true;
            runner.begin_stream(of);
            of.exchange->abort();
            return;
        }
        runner.begin_stream(of);
        runner.event(of, 1);
        of.exchange->finish();
    };
    first.next.push_back(act);
    second.next.push_back(act);
    const auto end = ask(router, "/s/", "id-1", engine_fields);

    BOOST_TEST(becomes_true([&] { return end->heard.ends_with("0\r\n\r\n"); }));
    BOOST_TEST(runs() == 2);
}

// Symptom: streams hung until their callers left, though other runners were free.
// Sequence: a runner's machine lost power in the middle of a stream, so no reset came.
// Cause: only a broken connection made the router look for another runner.
BOOST_AUTO_TEST_CASE(a_stream_whose_runner_falls_silent_goes_on_at_another)
{
    auto& router = serve(resumable_stream, true);
    bool silent = false;
    const auto act = [&](stand_in_runner& runner, const run& of)
    {
        runner.begin_stream(of);
        if (!silent)
        {
            silent = true;
            runner.event(of, 1);
            return;
        }
        runner.event(of, 2);
        of.exchange->finish();
    };
    first.next.push_back(act);
    second.next.push_back(act);
    const auto end = ask(router, "/s/", "id-1", engine_fields);

    BOOST_TEST(becomes_true([&] { return end->heard.ends_with("0\r\n\r\n"); }));
    BOOST_TEST(http_tests::count_of(end->heard, "id: 1\n") == 1);
    BOOST_TEST(http_tests::count_of(end->heard, "id: 2\n") == 1);
    BOOST_TEST(runs() == 2);
}

// Symptom: an answer that was only slow was ended by the router.
// Sequence: a runner paused for longer than is usual; no other could go on.
BOOST_AUTO_TEST_CASE(a_silent_stream_that_nobody_can_go_on_with_is_left_alone)
{
    auto& router = serve(resumable_stream);
    first.next.push_back(
        [](stand_in_runner& runner, const run& of)
        {
            runner.begin_stream(of);
            runner.event(of, 1);
        });
    const auto end = ask(router, "/s/", "id-1", engine_fields);
    BOOST_REQUIRE(becomes_true([&] { return end->heard.find("id: 1\n") != std::string::npos; }));
    const auto until = clock.now() + std::chrono::milliseconds(1300);
    BOOST_REQUIRE(becomes_true([&] { return clock.now() > until; }));

    first.event(first.runs.at(0), 2);
    first.runs.at(0).exchange->finish();

    BOOST_TEST(becomes_true([&] { return end->heard.ends_with("0\r\n\r\n"); }));
    BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
