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

    /// Starts a router with one route and the runners that serve it.
    caraway::router::daemon& serve(const route_spec& route, bool both = false)
    {
        accept_configuration(1, {route});
        add_upstream(first, route.service);
        if (both)
        {
            add_upstream(second, route.service);
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

void close_without_answer(stand_in_runner&, const run& current)
{
    current.exchange->abort();
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(requests, request_fixture)

BOOST_AUTO_TEST_CASE(a_request_reaches_a_runner_and_its_answer_is_returned_unchanged)
{
    auto& router = serve({.prefix = "/a/"});
    const auto end = send_request(router, "/a/b?c=d", "id-1",
                                  "Api-Key: key-1\r\nX-Deadline-Ms: 800\r\nX-Other: kept\r\n");

    BOOST_REQUIRE(receives_status(end, "200"));
    BOOST_TEST(end->received.ends_with("\r\n\r\nfrom i-1"));
    BOOST_TEST(end->received.find("X-Response-Seal: seal of i-1") != std::string::npos);
    BOOST_REQUIRE(first.runs.size() == 1);
    const auto& received = first.runs[0];
    BOOST_TEST(received.method == "POST");
    BOOST_TEST(received.target == "/a/b?c=d");
    BOOST_TEST(received.body == "body");
    BOOST_TEST(received.id == "id-1");
    BOOST_TEST(received.head["X-Other"] == "kept");
    BOOST_TEST(received.head["X-Tenant"] == "north");
    BOOST_TEST((received.head.find("Api-Key") == received.head.end()));
    const auto remaining_ms = std::stoi(std::string(received.head["X-Deadline-Ms"]));
    BOOST_TEST(remaining_ms <= 800);
    BOOST_TEST(remaining_ms > 400);
    BOOST_TEST(becomes_true(
        [&] {
            return logged({R"("event":"request")", R"("request":"id-1")", R"("status":200)"});
        }));
}

// Guards against a caller that acts as another workspace or reserves an engine's memory by sending
// header fields that only routers may set, or that has a needed field removed by naming the field
// in Connection.
BOOST_AUTO_TEST_CASE(fields_that_only_routers_may_set_are_not_forwarded)
{
    auto& router = serve({.prefix = "/a/"});
    const auto end =
        send_request(router, "/a/", "id-1",
                     "Api-Key: key-1\r\nX-Tenant: south\r\nX-Hold: h\r\nX-Pin-Ms: 9\r\n"
                     "X-Kv-Backup: 1.2.3.4:5\r\nKv-From: 1.2.3.4:5/h\r\nKv-Fetch: 1.2.3.4:5\r\n"
                     "X-Expect-Instance: i-9\r\nConnection: X-Request-Id, X-Model\r\n"
                     "X-Model: m\r\n");

    BOOST_REQUIRE(receives_status(end, "200"));
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

BOOST_AUTO_TEST_CASE(unknown_routes_and_unknown_keys_get_different_statuses)
{
    auto& router = serve({.prefix = "/a/"});

    BOOST_TEST(receives_status(send_request(router, "/b/", "id-1"), "404"));
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-2", "Api-Key: key-9\r\n"), "401"));
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-3", ""), "401"));
    BOOST_TEST(runs() == 0);
}

BOOST_AUTO_TEST_CASE(an_anonymous_route_needs_no_key)
{
    auto& router = serve({.prefix = "/a/", .anonymous = true});

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1", "X-Tenant: south\r\n"), "200"));
    BOOST_TEST((first.runs.at(0).head.find("X-Tenant") == first.runs.at(0).head.end()));
}

// Guards against running a request twice (a pickup was confirmed twice): the runner ran the
// request, the answer was lost with the connection, and the router sent the request again.
BOOST_AUTO_TEST_CASE(a_request_that_is_not_idempotent_is_sent_once_even_if_its_answer_is_lost)
{
    auto& router = serve({.prefix = "/a/", .max_attempts = 3}, true);
    first.next_behaviours.push_back(close_without_answer);
    second.next_behaviours.push_back(close_without_answer);

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "502"));
    BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_retried_at_another_runner)
{
    auto& router = serve({.prefix = "/a/", .kind = "safe", .max_attempts = 2}, true);
    first.next_behaviours.push_back(close_without_answer);
    second.next_behaviours.push_back(close_without_answer);

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "502"));
    BOOST_TEST(first.runs.size() == 1);
    BOOST_TEST(second.runs.size() == 1);
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-2"), "200"));
}

// Guards against running a payment twice: a runner failed after it had run the request and answered
// 503, the status by which routers state that a request did not run. The caller got this status and
// retried.
BOOST_AUTO_TEST_CASE(a_runners_503_after_a_run_is_not_forwarded_as_not_run)
{
    auto& router = serve({.prefix = "/a/"});
    first.next_behaviours.push_back(
        [](stand_in_runner&, const run& current)
        {
            auto head = caraway::http::make_response(caraway::http::status::service_unavailable);
            head.set("X-Request-Id", current.id);
            head.set("X-Response-Seal", "seal");
            current.exchange->respond(std::move(head), "busy");
        });
    const auto end = send_request(router, "/a/", "id-1");

    BOOST_TEST(receives_status(end, "502"));
    BOOST_TEST(end->received.find("X-Response-Seal") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_rejection_has_retry_after)
{
    auto& router = serve({.prefix = "/a/"});
    first.next_behaviours.push_back([](stand_in_runner& runner, const run& current)
                                    { runner.reject(current); });
    const auto end = send_request(router, "/a/", "id-1");

    BOOST_TEST(receives_status(end, "503"));
    BOOST_TEST(end->received.find("Retry-After: ") != std::string::npos);
}

// Guards against a request being run by a service that its route doesn't name: a runner ended and
// its address was reused by a runner of another service.
BOOST_AUTO_TEST_CASE(an_address_taken_by_another_instance_is_no_longer_used)
{
    auto& router = serve({.prefix = "/a/"});
    first.instance = "i-other";

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "503"));
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-2"), "503"));
    BOOST_TEST(first.runs.empty());
    BOOST_TEST(first.requests_received == 1);
}

BOOST_AUTO_TEST_CASE(a_failed_run_is_forwarded_unchanged)
{
    auto& router = serve({.prefix = "/a/"});
    first.next_behaviours.push_back([](stand_in_runner& runner, const run& current)
                                    { runner.fail(current); });
    const auto end = send_request(router, "/a/", "id-1");

    BOOST_TEST(receives_status(end, "500"));
    BOOST_TEST(end->received.find("X-Response-Seal: seal of i-1") != std::string::npos);
    BOOST_TEST(end->received.ends_with("failed"));
}

BOOST_AUTO_TEST_CASE(an_answer_without_proof_is_not_forwarded)
{
    auto& router = serve({.prefix = "/a/"});
    first.next_behaviours.push_back(
        [](stand_in_runner&, const run& current)
        {
            auto head = caraway::http::make_response(caraway::http::status::ok);
            head.set("X-Request-Id", current.id);
            current.exchange->respond(std::move(head), "rubbish");
        });
    const auto end = send_request(router, "/a/", "id-1");

    BOOST_TEST(receives_status(end, "502"));
    BOOST_TEST(end->received.find("rubbish") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_sent_and_timed_out_gets_504)
{
    auto& router = serve({.prefix = "/a/", .timeout_ms = 150});
    first.next_behaviours.push_back([](stand_in_runner&, const run&) {});

    BOOST_TEST(receives_status(send_request(router, "/a/", "id-1"), "504"));
    BOOST_TEST(becomes_true([&] { return *first.runs.at(0).cancelled; }));
}

// Guards against runners that continue a run after its caller has disconnected.
BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_cancels_its_run)
{
    auto& router = serve({.prefix = "/a/"});
    first.next_behaviours.push_back([](stand_in_runner&, const run&) {});
    const auto end = send_request(router, "/a/", "id-1");
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

BOOST_AUTO_TEST_CASE(only_the_router_sets_the_upstream_to_fetch_from)
{
    http::request_head head;
    head.method(http::verb::post);
    head.target("/s/");
    head.set("Kv-Fetch", "1.2.3.4:5");
    const auto protocol = caraway::platform::caller_protocol();
    const caraway::router::forward_options options{.instance = caraway::base::upstream_id("i-1")};
    BOOST_TEST(protocol.forward(head, 0, options).find("Kv-Fetch") == std::string::npos);

    auto options_with_source = options;
    options_with_source.fetch_from = caraway::routing::endpoint{.ip = "10.0.0.9", .port = 80};
    const auto message = protocol.forward(head, 0, options_with_source);
    BOOST_TEST(message.find("Kv-Fetch: 10.0.0.9:80\r\n") != std::string::npos);
    BOOST_TEST(message.find("1.2.3.4") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(events_are_forwarded_as_they_arrive)
{
    auto& router = serve({.prefix = "/s/", .kind = "streaming", .service = "engines"});
    first.next_behaviours.push_back(
        [](stand_in_runner& runner, const run& current)
        {
            runner.begin_stream(current);
            runner.send_event(current, 1);
        });
    const auto end = send_request(router, "/s/", "id-1", engine_fields);
    BOOST_REQUIRE(becomes_true([&] { return end->received.find("id: 1\n") != std::string::npos; }));

    first.send_event(first.runs[0], 2);
    BOOST_REQUIRE(becomes_true([&] { return end->received.find("id: 2\n") != std::string::npos; }));
    BOOST_TEST(!end->received.ends_with("0\r\n\r\n"));
    first.runs[0].exchange->finish();

    BOOST_TEST(becomes_true([&] { return end->received.ends_with("0\r\n\r\n"); }));
}

// Guards against lost or repeated parts of a stream when a runner crashes in the middle of an event
// and another runner resumes the stream.
BOOST_AUTO_TEST_CASE(an_aborted_stream_is_resumed_at_another_runner)
{
    auto& router = serve(resumable_stream, true);
    const auto abort_stream = [](stand_in_runner& runner, const run& current)
    {
        runner.begin_stream(current);
        runner.send_event(current, 1);
        current.exchange->write("id: 2\nda");
        current.exchange->abort();
    };
    const auto resume_stream = [](stand_in_runner& runner, const run& current)
    {
        if (current.head["Last-Event-Id"] != "1")
        {
            runner.fail(current);
            return;
        }
        runner.begin_stream(current);
        runner.send_event(current, 1);
        runner.send_event(current, 2);
        runner.send_event(current, 3);
        current.exchange->finish();
    };
    bool aborted = false;
    const auto handle = [&](stand_in_runner& runner, const run& current)
    {
        if (aborted)
        {
            resume_stream(runner, current);
            return;
        }
        aborted = true;
        abort_stream(runner, current);
    };
    first.next_behaviours.push_back(handle);
    second.next_behaviours.push_back(handle);
    const auto end = send_request(router, "/s/", "id-1", engine_fields);

    BOOST_REQUIRE(becomes_true([&] { return end->received.ends_with("0\r\n\r\n"); }));
    for (const auto* id : {"id: 1\n", "id: 2\n", "id: 3\n"})
    {
        BOOST_TEST(http_tests::count_of(end->received, id) == 1, id);
    }
    BOOST_TEST(end->received.find("id: 2\nda\n") == std::string::npos);
    BOOST_TEST(http_tests::count_of(end->received, "HTTP/1.1 200") == 1);
}

// Guards against a truncated stream that appears complete to its caller.
BOOST_AUTO_TEST_CASE(an_aborted_stream_that_cannot_be_resumed_is_aborted_for_the_caller)
{
    auto& router = serve(
        {.prefix = "/s/", .kind = "streaming", .service = "engines", .max_attempts = 2}, true);
    const auto abort_stream = [](stand_in_runner& runner, const run& current)
    {
        runner.begin_stream(current);
        runner.send_event(current, 1);
        current.exchange->abort();
    };
    first.next_behaviours.push_back(abort_stream);
    second.next_behaviours.push_back(abort_stream);
    const auto end = send_request(router, "/s/", "id-1", engine_fields);

    BOOST_REQUIRE(becomes_true([&] { return end->ended; }));
    BOOST_TEST(end->received.find("id: 1\n") != std::string::npos);
    BOOST_TEST(!end->received.ends_with("0\r\n\r\n"));
    BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_CASE(a_stream_aborted_before_its_first_event_is_retried_only_if_resumable)
{
    auto& router = serve(resumable_stream, true);
    bool failed = false;
    const auto handle = [&](stand_in_runner& runner, const run& current)
    {
        if (!failed)
        {
            failed = true;
            runner.begin_stream(current);
            current.exchange->abort();
            return;
        }
        runner.begin_stream(current);
        runner.send_event(current, 1);
        current.exchange->finish();
    };
    first.next_behaviours.push_back(handle);
    second.next_behaviours.push_back(handle);
    const auto end = send_request(router, "/s/", "id-1", engine_fields);

    BOOST_TEST(becomes_true([&] { return end->received.ends_with("0\r\n\r\n"); }));
    BOOST_TEST(runs() == 2);
}

// Guards against streams that hang until their callers disconnect although other runners are free.
// A runner's VM lost power in the middle of a stream, so its connection was never reset, and the
// router looked for another runner only after a connection error.
BOOST_AUTO_TEST_CASE(a_stream_whose_runner_stops_responding_is_resumed_at_another)
{
    auto& router = serve(resumable_stream, true);
    bool stalled = false;
    const auto handle = [&](stand_in_runner& runner, const run& current)
    {
        runner.begin_stream(current);
        if (!stalled)
        {
            stalled = true;
            runner.send_event(current, 1);
            return;
        }
        runner.send_event(current, 2);
        current.exchange->finish();
    };
    first.next_behaviours.push_back(handle);
    second.next_behaviours.push_back(handle);
    const auto end = send_request(router, "/s/", "id-1", engine_fields);

    BOOST_TEST(becomes_true([&] { return end->received.ends_with("0\r\n\r\n"); }));
    BOOST_TEST(http_tests::count_of(end->received, "id: 1\n") == 1);
    BOOST_TEST(http_tests::count_of(end->received, "id: 2\n") == 1);
    BOOST_TEST(runs() == 2);
}

// Guards against aborting an answer that is merely slow: a runner paused for longer than usual and
// no other runner could resume the stream.
BOOST_AUTO_TEST_CASE(a_stalled_stream_that_cannot_be_resumed_is_not_aborted)
{
    auto& router = serve(resumable_stream);
    first.next_behaviours.push_back(
        [](stand_in_runner& runner, const run& current)
        {
            runner.begin_stream(current);
            runner.send_event(current, 1);
        });
    const auto end = send_request(router, "/s/", "id-1", engine_fields);
    BOOST_REQUIRE(becomes_true([&] { return end->received.find("id: 1\n") != std::string::npos; }));
    const auto wait_end = clock.now() + std::chrono::milliseconds(1300);
    BOOST_REQUIRE(becomes_true([&] { return clock.now() > wait_end; }));

    first.send_event(first.runs.at(0), 2);
    first.runs.at(0).exchange->finish();

    BOOST_TEST(becomes_true([&] { return end->received.ends_with("0\r\n\r\n"); }));
    BOOST_TEST(runs() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
