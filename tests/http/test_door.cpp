#include "server_fixture.hpp"

#include "libcaraway/http/raw_head.hpp"

using namespace caraway;
using namespace std::chrono_literals;
using http_tests::count_of;

namespace
{

const std::string refusal_text = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\n"
                                 "Content-Length: 0\r\nConnection: close\r\n\r\n";

std::string request_of(const std::string& key, const std::string& body = {})
{
    return "POST /a HTTP/1.1\r\nHost: x\r\nApi-Key: " + key +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A listener whose door refuses requests with the key "flood" while it is narrow.
struct door_fixture : http_tests::server_fixture
{
    bool is_narrow = true;
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t left = 0;
    std::size_t closed = 0;
    std::size_t opened = 0;
    std::size_t most_accepted = 1000;

    door_fixture()
    {
        listener.set_door({.is_narrow = [this] { return is_narrow; },
                           .accepts_more = [this] { return accepted < most_accepted; },
                           .refusal = [this](std::string_view bytes) -> std::optional<std::string>
                           {
                               ++accepted;
                               const auto head = http::raw_head::find(bytes);
                               return head && head->field("Api-Key") == "flood"
                                          ? std::optional(refusal_text)
                                          : std::nullopt;
                           },
                           .on_refused = [this] { ++refused; },
                           .on_left = [this] { ++left; },
                           .on_closed = [this] { ++closed; },
                           .on_opened =
                               [this]
                           {
                               ++opened;
                           }});
    }

    /// A caller whose request is there before its connection is accepted.
    std::shared_ptr<http_tests::raw_peer> caller_with(const std::string& text)
    {
        auto end = caller();
        end->send(text);
        return end;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(doors, door_fixture)

BOOST_AUTO_TEST_CASE(a_refused_caller_gets_the_answer_and_a_close)
{
    const auto end = caller_with(request_of("flood", "body"));

    BOOST_TEST(becomes_true([&] { return end->ended; }));
    BOOST_TEST(end->received == refusal_text);
    BOOST_TEST(requests.empty());
    BOOST_TEST(refused == 1U);
}

BOOST_AUTO_TEST_CASE(other_callers_are_read_while_the_door_is_narrow)
{
    const auto end = caller_with(request_of("small", "body"));

    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 1; }));
    BOOST_TEST(requests[0]->body() == "body");
    requests[0]->respond(http::make_response(http::status::ok), "done");
    BOOST_TEST(becomes_true([&] { return count_of(end->received, "done") == 1; }));
    BOOST_TEST(refused == 0U);
}

BOOST_AUTO_TEST_CASE(nobody_is_refused_while_the_door_is_wide)
{
    is_narrow = false;
    const auto end = caller_with(request_of("flood"));

    BOOST_TEST(becomes_true([&] { return requests.size() == 1; }));
}

// Closing a connection with unread bytes resets it, which may destroy the answer.
BOOST_AUTO_TEST_CASE(a_caller_still_sending_its_body_gets_the_answer)
{
    const auto whole = request_of("flood", std::string(4000, 'x'));
    const auto end = caller_with(whole.substr(0, whole.size() - 3000));
    BOOST_REQUIRE(becomes_true([&] { return !end->received.empty(); }));
    end->send(whole.substr(whole.size() - 3000));

    BOOST_TEST(becomes_true([&] { return end->ended; }));
    BOOST_TEST(end->received == refusal_text);
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(a_body_that_stops_does_not_hold_a_refused_connection)
{
    const auto whole = request_of("flood", std::string(4000, 'x'));
    const auto end = caller_with(whole.substr(0, whole.size() - 3000));

    BOOST_TEST(becomes_true([&] { return end->ended; }));
    BOOST_TEST(becomes_true([&] { return listener.connections() == 0; }));
    BOOST_TEST(end->received == refusal_text);
}

BOOST_AUTO_TEST_CASE(a_request_that_comes_after_its_connection_was_accepted_is_refused)
{
    const auto end = caller();
    BOOST_REQUIRE(becomes_true([&] { return listener.connections() == 1; }));
    end->send(request_of("flood"));

    BOOST_TEST(becomes_true([&] { return end->ended; }));
    BOOST_TEST(end->received == refusal_text);
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(requests_on_a_kept_connection_are_read)
{
    is_narrow = false;
    const auto end = caller_with(request_of("flood"));
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 1; }));
    requests[0]->respond(http::make_response(http::status::ok), "first");
    BOOST_REQUIRE(becomes_true([&] { return count_of(end->received, "first") == 1; }));
    is_narrow = true;
    end->send(request_of("flood"));

    BOOST_TEST(becomes_true([&] { return requests.size() == 2; }));
}

BOOST_AUTO_TEST_CASE(a_caller_that_left_is_dropped)
{
    caller()->reset();
    caller()->close();

    BOOST_TEST(becomes_true([&] { return left == 2; }));
    BOOST_TEST(becomes_true([&] { return listener.connections() == 0; }));
    BOOST_TEST(requests.empty());
}

// A head that never ends, sent byte by byte, is answered in the time for heads; nobody waits for
// it.
BOOST_AUTO_TEST_CASE(a_head_that_never_ends_is_timed_out_while_others_are_served)
{
    limits.header_timeout = 300ms;
    const auto slow = caller_with("POST /a HTTP/1.1\r\nApi-Key: flo");
    const auto began = clock.now();
    const auto other = caller_with(request_of("small"));
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 1; }));
    BOOST_TEST((clock.now() - began < 300ms));
    for (int byte = 0; byte < 3; ++byte)
    {
        slow->send("o");
        settle();
    }

    BOOST_TEST(becomes_true([&] { return slow->received.starts_with("HTTP/1.1 408"); }));
    BOOST_TEST(becomes_true([&] { return slow->ended; }));
}

BOOST_AUTO_TEST_CASE(beyond_the_budget_callers_are_refused_until_the_next_tick)
{
    most_accepted = 1;
    const auto first = caller_with(request_of("small"));
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 1; }));
    BOOST_TEST(becomes_true([&] { return listener.refusing(); }));
    BOOST_CHECK_THROW(caller(), boost::system::system_error);
    BOOST_TEST(listener.refusals() == 1U);
    BOOST_TEST(closed == 1U);

    accepted = 0;
    listener.resume();
    BOOST_TEST(!listener.refusing());
    BOOST_TEST(opened == 1U);
    const auto second = caller_with(request_of("small"));

    BOOST_TEST(becomes_true([&] { return requests.size() == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(raw_heads)

BOOST_AUTO_TEST_CASE(fields_are_found_without_regard_to_case)
{
    const auto text = "POST /a/b?c HTTP/1.1\r\nhost: x\r\napi-KEY:  k 1 \r\nX-Api-Key: no\r\n"
                      "Content-Length: 2\r\n\r\nhi";
    const auto head = http::raw_head::find(text);

    BOOST_REQUIRE(head.has_value());
    BOOST_TEST(head->field("Api-Key") == "k 1");
    BOOST_TEST(head->field("Missing").empty());
    BOOST_TEST(head->target() == "/a/b?c");
    BOOST_TEST(head->is_whole_request());
}

BOOST_AUTO_TEST_CASE(unusual_heads_are_no_whole_request)
{
    const std::vector<std::string> fields{"Content-Length: 3\r\n",
                                          "Content-Length: 1\r\n",
                                          "Content-Length: -2\r\n",
                                          "Content-Length: two\r\n",
                                          "Content-Length: 99999999999999999999\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          ""};
    for (const auto& field : fields)
    {
        const auto text = "POST /a HTTP/1.1\r\n" + field + "\r\nhi";
        const auto head = http::raw_head::find(text);
        BOOST_REQUIRE(head.has_value());
        BOOST_TEST(!head->is_whole_request(), field);
    }
}

BOOST_AUTO_TEST_CASE(bytes_that_hold_no_head_are_none)
{
    for (const std::string_view text : {"", "\r\n\r\n", "GET / HTTP/1.1\r\n", "\r\n", "garbage"})
    {
        BOOST_TEST(!http::raw_head::find(text).has_value(), text);
    }
    const auto odd = http::raw_head::find("x\r\n:\r\nno colon\r\n: y\r\n\r\n");
    BOOST_REQUIRE(odd.has_value());
    BOOST_TEST(odd->target().empty());
    BOOST_TEST(odd->field("Api-Key").empty());
}

BOOST_AUTO_TEST_SUITE_END()
