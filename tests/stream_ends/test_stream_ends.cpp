#include "../stream_versions/version_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace stream_version_tests;
using namespace caraway;
using run = stand_in_runner::run;

namespace
{

/// How an engine answers a router that goes on with a stream after its first event.
using answer_to_resume = std::function<void(const run&)>;

struct ends_fixture : version_fixture
{
    static http::response_head sealed_head(const run& current, unsigned code)
    {
        auto head = http::make_response(http::status::ok);
        head.result(code);
        head.set("X-Request-Id", current.id);
        head.set("X-Response-Seal", "seal");
        return head;
    }

    /// A whole stream of one event, whose head may have been changed.
    static void send_whole_stream(const run& current, http::response_head head,
                                  const std::string& event)
    {
        head.set(http::field::content_type, "text/event-stream");
        current.exchange->begin(std::move(head));
        current.exchange->write(event);
        current.exchange->finish();
    }

    static void send_encoded_stream(const run& current, int id)
    {
        auto head = sealed_head(current, 200);
        head.set(http::field::content_encoding, "gzip");
        send_whole_stream(current, std::move(head),
                          "id: " + std::to_string(id) + "\ndata: encoded\n\n");
    }

    /// Begins a stream that breaks off after its first event, and lets the engine that the router
    /// goes on at answer as told.
    caller_connection break_off_and(const answer_to_resume& answer)
    {
        start_routers(1, {&old_1, &old_2});
        for (auto* engine : {&old_1, &old_2})
        {
            engine->next_behaviours.assign(2,
                                           [answer](stand_in_runner& serving, const run& current)
                                           {
                                               if (current.head["Last-Event-Id"].empty())
                                               {
                                                   serving.begin_stream(current);
                                                   serving.send_event(current, 1);
                                                   return;
                                               }
                                               answer(current);
                                           });
        }
        auto caller = begin_stream(0, "id-1");
        last_run("id-1").second.exchange->abort();
        BOOST_REQUIRE(becomes_true([&] { return run_count("id-1") == 2; }));
        BOOST_REQUIRE(becomes_true([&] { return caller->ended || is_complete(caller); }));
        return caller;
    }

    /// The end of a chunked body (RFC 9112, 7.1).
    static bool is_complete(const caller_connection& caller)
    {
        return caller->received.ends_with("\r\n0\r\n\r\n");
    }
};

}  // namespace

// What a second upstream answers is the rest of a stream only if it is a stream.

BOOST_FIXTURE_TEST_SUITE(stream_ends, ends_fixture)

BOOST_AUTO_TEST_CASE(a_stream_does_not_end_as_complete_with_a_failure_of_the_next_engine)
{
    for (const unsigned code : {400U, 404U, 409U, 429U})
    {
        const auto caller =
            break_off_and([code](const run& current)
                          { current.exchange->respond(sealed_head(current, code), "no"); });
        BOOST_TEST(!is_complete(caller), "after status " << code);
        routers.clear();
        for (auto* engine : engines())
        {
            engine->runs.clear();
        }
        seeds.clear();
    }
}

BOOST_AUTO_TEST_CASE(a_stream_does_not_end_as_complete_with_an_answer_that_is_no_stream)
{
    const auto caller = break_off_and(
        [](const run& current)
        {
            auto head = sealed_head(current, 200);
            head.set(http::field::content_type, "application/json");
            current.exchange->respond(std::move(head), "{}");
        });

    BOOST_TEST(!is_complete(caller));
}

BOOST_AUTO_TEST_CASE(events_of_an_encoded_answer_do_not_reach_a_caller)
{
    start_routers(1, {&old_1});
    old_1.next_behaviours.assign(1, [](stand_in_runner&, const run& current)
                                 { send_encoded_stream(current, 1); });
    const auto caller = send_stream(0, "id-1");
    BOOST_REQUIRE(becomes_true([&] { return !caller->received.empty() || caller->ended; }));
    settle();

    BOOST_TEST(caller->received.find("data: encoded") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_encoded_answer_does_not_go_on_with_a_stream)
{
    const auto caller = break_off_and([](const run& current) { send_encoded_stream(current, 2); });

    BOOST_TEST(!is_complete(caller));
    BOOST_TEST(caller->received.find("data: encoded") == std::string::npos);
}

// An extra answer may lie on a kept connection where the next request's is due.
BOOST_AUTO_TEST_CASE(an_answer_that_names_no_request_is_not_taken_for_the_one_that_waits)
{
    start_routers(1, {&old_1});
    old_1.next_behaviours.assign(1,
                                 [](stand_in_runner& serving, const run& current)
                                 {
                                     serving.begin_stream(current);
                                     serving.send_event(current, 1);
                                     current.exchange->finish();
                                 });
    const auto first = begin_stream(0, "id-1");
    BOOST_REQUIRE(becomes_true([&] { return is_complete(first); }));
    old_1.next_behaviours.assign(1,
                                 [](stand_in_runner&, const run& current)
                                 {
                                     auto head = sealed_head(current, 200);
                                     head.erase("X-Request-Id");
                                     send_whole_stream(current, std::move(head),
                                                       "id: 1\ndata: of another\n\n");
                                 });
    const auto second = send_stream(0, "id-2");
    BOOST_REQUIRE(becomes_true([&] { return !second->received.empty() || second->ended; }));
    settle();

    BOOST_TEST(second->received.find("data: of another") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
