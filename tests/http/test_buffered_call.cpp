#include "loop_fixture.hpp"

#include "libcaraway/http/buffered_call.hpp"
#include "libcaraway/http/connection_check.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

namespace
{

/// Bytes, as buffered_caller takes at most.
constexpr std::size_t body_limit = 8U << 20U;

struct buffered_call_fixture : http_tests::loop_fixture
{
    using result = base::result<http::buffered_answer>;

    http_tests::raw_server server{loop};
    std::optional<http::buffered_caller> caller;
    std::optional<result> answer;

    routing::endpoint address() const
    {
        return {.ip = "127.0.0.1", .port = server.port()};
    }

    /// Sends a request and returns the server's end of its connection.
    std::shared_ptr<http_tests::raw_peer> call(const std::string& body = {})
    {
        answer.reset();
        caller.emplace(loop, timers);
        const auto connections = server.peers.size();
        caller->call(address(), http::body_request("POST", address(), "/", body), 10s,
                     [this](result received) { answer = std::move(received); });
        BOOST_REQUIRE(becomes_true([&] { return server.peers.size() > connections; }));
        return server.peers.back();
    }

    void check_fails(const std::string& what)
    {
        BOOST_REQUIRE(becomes_true([&] { return answer.has_value(); }));
        BOOST_TEST(!*answer, what);
        BOOST_TEST((*answer || answer->error().code == base::errc::unknown_effect), what);
    }

    void check_whole(std::size_t bytes)
    {
        BOOST_REQUIRE(becomes_true([&] { return answer.has_value(); }));
        BOOST_REQUIRE(bool(*answer));
        BOOST_TEST(answer->value().status == 200U);
        BOOST_TEST(answer->value().body.size() == bytes);
    }

    static std::string whole_answer(std::size_t bytes)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
               std::string(bytes, 'b');
    }

    /// Sends what is more than the connection takes at once.
    void send_in_parts(http_tests::raw_peer& end, const std::string& text)
    {
        constexpr std::size_t part_bytes = 65536;
        for (std::size_t at = 0; at < text.size() && !end.ended; at += part_bytes)
        {
            end.send(text.substr(at, part_bytes));
            loop.restart();
            loop.poll();
        }
    }
};

}  // namespace

// The calls of the store and of peers.
BOOST_FIXTURE_TEST_SUITE(buffered_calls, buffered_call_fixture)

// Guards against the beginning of an answer that is taken for all of it: what went beyond the limit
// was discarded, and the rest ended as a whole answer.
BOOST_AUTO_TEST_CASE(an_answer_beyond_the_limit_is_no_answer)
{
    const auto end = call();
    send_in_parts(*end, whole_answer(body_limit));
    check_whole(body_limit);

    const auto chunk = "100000\r\n" + std::string(1U << 20U, 'b') + "\r\n";
    std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int chunks = 0; chunks < 9; ++chunks)
    {
        chunked += chunk;
    }
    for (const auto& beyond : {whole_answer(body_limit + 1), chunked + "0\r\n\r\n"})
    {
        const auto other_end = call();
        send_in_parts(*other_end, beyond);
        check_fails("beyond the limit");
        BOOST_TEST(becomes_true([&] { return other_end->ended; }));
    }
}

// Guards against a part of an answer that is taken for all of it.
BOOST_AUTO_TEST_CASE(an_early_answer_without_length_that_is_reset_amid_the_upload)
{
    const std::string upload(8U << 20U, 'b');
    for (int repeat = 0; repeat < 20; ++repeat)
    {
        const auto end = call(upload);
        BOOST_REQUIRE(becomes_true([&] { return !end->received.empty(); }));
        end->send("HTTP/1.1 200 OK\r\n\r\nhalf");
        end->reset();
        check_fails("reset");
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_an_impossible_status)
{
    for (const std::string status : {"000", "099", "101", "600", "999"})
    {
        call()->send("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
        check_fails(status);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_malformed_field_name)
{
    for (const std::string name : {"X Odd", "X-Odd ", "X-Odd\t", "X-\x01Odd", "Content-Length "})
    {
        call()->send("HTTP/1.1 200 OK\r\n" + name + ": 1\r\nContent-Length: 2\r\n\r\nok");
        check_fails(name);
    }
}

// A check reads no answer, so that none of these is taken for one.
BOOST_AUTO_TEST_CASE(a_check_for_a_listener_is_not_changed_by_what_it_sends)
{
    for (const std::string answer :
         {"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n"})
    {
        std::optional<http::listening> found;
        http::check_listening(loop, address(), 10s,
                              [&](http::listening result) { found = result; });
        const auto connections = server.peers.size();
        BOOST_REQUIRE(becomes_true([&] { return server.peers.size() > connections; }));
        server.peers.back()->send(answer);
        server.peers.back()->close();
        BOOST_REQUIRE(becomes_true([&] { return found.has_value(); }));
        BOOST_TEST((found == http::listening::yes));
    }
}

BOOST_AUTO_TEST_SUITE_END()
