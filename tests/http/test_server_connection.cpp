#include "server_fixture.hpp"

using namespace caraway;
using namespace std::chrono_literals;
using http_tests::connect_to;
using http_tests::count_of;
using http_tests::get_request;

BOOST_FIXTURE_TEST_SUITE(server_connections, http_tests::server_fixture)

BOOST_AUTO_TEST_CASE(a_request_is_answered_and_the_connection_kept)
{
    const auto end = caller();
    for (int turn = 1; turn <= 3; ++turn)
    {
        end->say(get_request);
        BOOST_REQUIRE(
            becomes_true([&] { return requests.size() == static_cast<std::size_t>(turn); }));
        requests.back()->respond(http::make_response(http::status::ok), "hello");
        BOOST_TEST(becomes_true(
            [&] { return count_of(end->heard, "hello") == static_cast<std::size_t>(turn); }));
    }
    BOOST_TEST(!end->ended);
}

// Symptom: a caller got the answer of its second request inside that of its first.
// Sequence: two requests came at once on one connection; both were answered as they got ready.
// Cause: the second was begun before the first had its answer.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_taken_one_after_the_other)
{
    const auto end = caller();
    end->say(get_request + "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    settle();
    BOOST_TEST(requests.size() == 1);

    requests[0]->respond(http::make_response(http::status::ok), "first");
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 2; }));
    BOOST_TEST(requests[1]->head().target() == "/b");
}

// Symptom: an upstream ran a request that no caller had sent, hidden in another one's body.
// Sequence: a request with two lengths, or a length and chunks; caller and router counted
// differently where it ended.
// Cause: framing that can be read in two ways was read in one of them.
BOOST_AUTO_TEST_CASE(ambiguous_framing_is_refused)
{
    const std::vector<std::string> heads{
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5, 5\r\n",
        "Host: y\r\n"};
    for (const auto& each : heads)
    {
        const auto end = caller();
        end->say("POST /a HTTP/1.1\r\nHost: x\r\n" + each +
                 "\r\n0\r\n\r\nGET /evil HTTP/1.1\r\nHost: x\r\n\r\n");
        BOOST_TEST(becomes_true([&] { return end->heard.starts_with("HTTP/1.1 400"); }), each);
        settle();
    }
    BOOST_TEST(requests.empty());
}

// Symptom: a caller acted for another workspace.
// Sequence: a chunked body was followed by fields that named the other workspace's key; they were
// added to the head's.
// Cause: the parser gives fields behind the body like those of the head.
BOOST_AUTO_TEST_CASE(fields_behind_a_chunked_body_are_no_fields_of_the_head)
{
    const auto end = caller();
    end->say("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n0\r\nX-Key: stolen\r\n\r\n");
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));

    BOOST_TEST(requests[0]->body() == "hello");
    BOOST_TEST((requests[0]->head().find("X-Key") == requests[0]->head().end()));
}

BOOST_AUTO_TEST_CASE(what_is_too_large_is_refused)
{
    const auto head = caller();
    head->say("GET /a HTTP/1.1\r\nHost: x\r\nLong: " + std::string(3000, 'a') + "\r\n\r\n");
    BOOST_TEST(becomes_true([&] { return head->heard.starts_with("HTTP/1.1 431"); }));

    const auto body = caller();
    body->say("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5001\r\n\r\n");
    BOOST_TEST(becomes_true([&] { return body->heard.starts_with("HTTP/1.1 413"); }));

    const auto chunks = caller();
    chunks->say("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1770\r\n" +
                std::string(6000, 'b'));
    BOOST_TEST(becomes_true([&] { return chunks->heard.starts_with("HTTP/1.1 413"); }));
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(a_body_in_pieces_is_taken_whole)
{
    const auto end = caller();
    end->say("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
    settle();
    end->say("c\r\n2;extension=1\r\nde\r\n0\r\n\r");
    settle();
    BOOST_TEST(requests.empty());
    end->say("\n");
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));

    BOOST_TEST(requests[0]->body() == "abcde");
}

BOOST_AUTO_TEST_CASE(a_caller_that_waits_for_leave_to_send_its_body_gets_it)
{
    const auto end = caller();
    end->say("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    BOOST_TEST(becomes_true([&] { return end->heard == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    end->say("ok");
    BOOST_TEST(becomes_true([&] { return requests.size() == 1; }));
}

// Symptom: a router's memory grew by 1 MB a second at 45 requests a second.
// Sequence: each request was answered; its owner had asked to be told if the caller left.
// Cause: owner and request held each other.
BOOST_AUTO_TEST_CASE(an_answered_request_holds_its_owner_no_more)
{
    const auto end = caller();
    end->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    const auto owner = std::make_shared<int>(0);
    requests[0]->on_disconnect([owner] {});
    requests[0]->respond(http::make_response(http::status::ok), "done");

    BOOST_TEST(owner.use_count() == 1);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_is_noticed_while_it_is_served)
{
    const auto end = caller();
    end->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    bool gone = false;
    requests[0]->on_disconnect([&] { gone = true; });

    end->close();

    BOOST_TEST(becomes_true([&] { return gone; }));
}

// Symptom: a caller took half an answer for a whole one.
// Sequence: the upstream broke off in the middle; the router closed the caller's connection in the
// ordinary way, and the answer had no length.
// Cause: an answer without length is complete when the connection ends in the ordinary way.
BOOST_AUTO_TEST_CASE(an_answer_that_is_broken_off_does_not_look_complete)
{
    const auto end = caller();
    end->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    requests[0]->begin(http::make_response(http::status::ok));
    requests[0]->write("half");
    requests[0]->abort();

    BOOST_TEST(becomes_true([&] { return end->ended; }));
    BOOST_TEST(end->heard.find("Transfer-Encoding: chunked") != std::string::npos);
    BOOST_TEST(end->heard.find("0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_answer_of_unknown_length_is_chunked_and_ended)
{
    const auto end = caller();
    end->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    requests[0]->begin(http::make_response(http::status::ok));
    requests[0]->write("one");
    requests[0]->finish();

    BOOST_TEST(becomes_true([&] { return end->heard.ends_with("3\r\none\r\n0\r\n\r\n"); }));
}

BOOST_AUTO_TEST_CASE(a_router_that_stops_says_so_and_closes_after_the_answer)
{
    limits.closing = true;
    const auto end = caller();
    end->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    requests[0]->respond(http::make_response(http::status::ok), "last");

    BOOST_TEST(becomes_true([&] { return end->ended; }));
    BOOST_TEST(end->heard.find("Connection: close") != std::string::npos);
    BOOST_TEST(end->heard.ends_with("last"));
}

BOOST_AUTO_TEST_CASE(callers_are_told_how_long_a_connection_is_kept)
{
    limits.keep_alive = 4s;
    const auto end = caller();
    end->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    requests[0]->respond(http::make_response(http::status::ok), "ok");

    BOOST_TEST(becomes_true(
        [&] { return end->heard.find("Keep-Alive: timeout=4\r\n") != std::string::npos; }));
}

BOOST_AUTO_TEST_CASE(a_head_that_never_ends_times_out)
{
    limits.header_timeout = 30ms;
    const auto end = caller();
    end->say("GET /a HTTP/1.1\r\nHo");

    BOOST_TEST(becomes_true([&] { return end->heard.starts_with("HTTP/1.1 408"); }));
}

// Symptom: upstreams ran requests whose callers had left long before.
// Sequence: a busy router read a request late; its caller's close lay behind it, unread.
// Cause: it was handed on as soon as it was whole.
BOOST_AUTO_TEST_CASE(whether_a_caller_has_left_can_be_seen_before_its_close_is_read)
{
    boost::asio::io_context elsewhere;
    const auto end = connect_to(elsewhere, listener.port());
    end->say(get_request);
    end->close();
    bool left = false;
    check = [&](const http::exchange& request)
    {
        left = request.caller_disconnected();
    };
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 1; }));
    BOOST_TEST(left);

    const auto other = caller();
    other->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 2; }));
    BOOST_TEST(!left);
}

// Symptom: on a planned stop a caller's answer was closed in the middle, though its upstream had
// ended it whole 14 ms before.
// Sequence: the last answer ended; its caller read slowly, so bytes still waited; nothing was under
// way any more, so the process ended.
// Cause: an answer counted as over once it was handed to its connection.
BOOST_AUTO_TEST_CASE(an_answer_is_under_way_until_its_last_byte_is_sent)
{
    const auto end = caller();
    end->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 1; }));
    constexpr std::size_t more_than_sockets_hold = 32U << 20U;
    requests.back()->respond(http::make_response(http::status::ok),
                             std::string(more_than_sockets_hold, 'a'));

    BOOST_TEST(listener.active_requests() == 1);
    BOOST_TEST(becomes_true([&] { return end->heard.size() > more_than_sockets_hold; }));
    BOOST_TEST(becomes_true([&] { return listener.active_requests() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
