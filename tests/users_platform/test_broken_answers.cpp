#include "table_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace users_platform_tests;
using namespace std::chrono_literals;

namespace
{

/// A store, or a peer, whose answers are written by the test.
struct broken_answer_fixture : table_fixture
{
    http_tests::raw_server server{loop};
    routing::endpoint address{.ip = "127.0.0.1", .port = server.port()};
    router::platform_port port = platform::make_port(loop, timers, address);
    std::shared_ptr<http_tests::raw_peer> asked;

    /// The server's end of the next connection that brings a request.
    void wait_for_request()
    {
        const auto is_new = [&](const auto& end)
        {
            return end != asked && end->received.find("\r\n\r\n") != std::string::npos;
        };
        BOOST_REQUIRE(
            becomes_true([&] { return !server.peers.empty() && is_new(server.peers.back()); }));
        asked = server.peers.back();
    }

    static std::string sound(const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\n" + rest(body);
    }
    static std::string rest(const std::string& body)
    {
        return "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
               body;
    }

    static std::string in_coding(const std::string& coding, const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + body;
    }

    /// Answers that hold a body that could be taken for the server's.
    static std::vector<std::string> broken(const std::string& body)
    {
        std::vector<std::string> answers;
        for (const std::string status : {"000", "099", "101", "600", "999", "204", "500"})
        {
            answers.push_back("HTTP/1.1 " + status + " X\r\n" + rest(body));
        }
        for (const std::string name : {"X Odd", "X-Odd ", "X-Odd\t", "X-\x01Odd", "X-\x7fOdd"})
        {
            answers.push_back("HTTP/1.1 200 OK\r\n" + name + ": odd\r\n" + rest(body));
        }
        for (const std::string coding : {"xchunked", "gzip", "chunked, gzip"})
        {
            answers.push_back(in_coding(coding, body));
        }
        return answers;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(broken_answers, broken_answer_fixture)

// Guards against rows of the store that are taken from an answer that is none.
BOOST_AUTO_TEST_CASE(rows_are_not_read_from_a_broken_answer_of_the_store)
{
    const std::string rows = R"({"ver":7,"rows":[],"more_pages":false})";
    const auto read = [&](const std::string& answer)
    {
        std::optional<base::result<router::rows_answer>> result;
        port.upstreams.read_all([&](auto received) { result = std::move(received); });
        wait_for_request();
        asked->send(answer);
        asked->close();
        BOOST_REQUIRE(becomes_true([&] { return result.has_value(); }));
        return bool(*result);
    };
    BOOST_TEST(read(sound(rows)));
    for (const auto& answer : broken(rows))
    {
        BOOST_TEST(!read(answer), answer);
    }
}

// Guards against a row that counts as written though the store has not said so.
BOOST_AUTO_TEST_CASE(a_row_is_not_written_by_a_broken_answer_of_the_store)
{
    const auto write = [&](const std::string& value, const auto& answer)
    {
        std::optional<bool> written;
        port.routers.write({.key = "r1", .value = value},
                           [&](const base::result<void>& result) { written = bool(result); });
        wait_for_request();
        answer();
        BOOST_REQUIRE(becomes_true([&] { return written.has_value(); }));
        return *written;
    };
    const auto send = [&](const std::string& answer)
    {
        return [this, answer]
        {
            asked->send(answer);
            asked->close();
        };
    };
    BOOST_TEST(write("short", send(sound("{}"))));
    for (const auto& answer : broken("{}"))
    {
        BOOST_TEST(!write("short", send(answer)), answer);
    }
    const std::string upload(3U << 20U, 'b');
    for (int repeat = 0; repeat < 10; ++repeat)
    {
        BOOST_TEST(!write(upload,
                          [&]
                          {
                              asked->send("HTTP/1.1 200 OK\r\n\r\n{}");
                              asked->reset();
                          }));
    }
}

// Guards against tables of a peer that are taken from an answer that is none.
BOOST_AUTO_TEST_CASE(tables_are_not_taken_from_a_broken_answer_of_a_peer)
{
    auto& sound_peer = start_router("r1");
    const auto caller = http_tests::connect_to(loop, sound_peer.options().control.port);
    caller->send("GET /tables?have=0&routers=1 HTTP/1.1\r\nHost: r1\r\nConnection: close\r\n\r\n");
    BOOST_REQUIRE(becomes_true([&] { return caller->ended; }));
    const auto tables = caller->received.substr(caller->received.find("\r\n\r\n") + 4);

    stand_in_store unavailable_store(loop, timers);
    unavailable_store.unavailable = true;
    seeds = {address};
    auto& router = start_router_at(unavailable_store, "r2", false);
    for (const auto& answer : broken(tables))
    {
        wait_for_request();
        asked->send(answer);
        asked->close();
        settle();
        BOOST_TEST(router.state()["version"].get<std::uint64_t>() == 0U, answer);
    }
    const auto takes_tables = [&]
    {
        return router.state()["version"].get<std::uint64_t>() == 1U;
    };
    const auto end = clock.now() + 10s;
    while (!takes_tables() && clock.now() < end)
    {
        wait_for_request();
        asked->send(sound(tables));
        settle();
    }
    BOOST_TEST(takes_tables());
}

BOOST_AUTO_TEST_SUITE_END()
