#include "server_fixture.hpp"

#include <array>

using namespace caraway;
using namespace std::chrono_literals;
using http_tests::get_request;
using http_tests::tcp;

namespace
{

constexpr std::size_t answer_bytes = 8U << 20U;

/// Reads some megabytes a second without a pause.
struct slow_reader : std::enable_shared_from_this<slow_reader>
{
    slow_reader(boost::asio::io_context& loop, caraway::http::timer_queue& queue,
                std::uint16_t port)
        : socket(loop), timers(queue)
    {
        socket.open(tcp::v4());
        socket.set_option(boost::asio::socket_base::receive_buffer_size(65536));
        socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
        socket.non_blocking(true);
    }

    void read()
    {
        boost::system::error_code error;
        bytes_read += socket.read_some(boost::asio::buffer(buffer), error);
        ended = error && error != boost::asio::error::would_block;
        if (!ended)
        {
            timers.after(8ms, [self = shared_from_this()] { self->read(); });
        }
    }

    tcp::socket socket;
    caraway::http::timer_queue& timers;
    std::array<char, 32768> buffer{};
    std::size_t bytes_read = 0;
    bool ended = false;
};

struct slow_fixture : http_tests::server_fixture
{
    std::shared_ptr<slow_reader> reader()
    {
        auto made = std::make_shared<slow_reader>(loop, timers, listener.port());
        boost::asio::write(made->socket, boost::asio::buffer(get_request));
        return made;
    }

    void answer_largely(std::size_t number)
    {
        BOOST_REQUIRE(becomes_true([&] { return requests.size() > number; }));
        requests[number]->respond(http::make_response(http::status::ok),
                                  std::string(answer_bytes, 'a'));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(slow_callers, slow_fixture)

// Guards against an answer that is cut as the time for an idle connection began when it was handed
// over.
BOOST_AUTO_TEST_CASE(an_answer_is_read_to_its_end_on_a_kept_connection)
{
    limits.idle_timeout = 3s;
    limits.keep_alive = 0s;
    const auto slow = reader();
    answer_largely(0);
    slow->read();
    BOOST_TEST(becomes_true([&] { return slow->ended || slow->bytes_read > answer_bytes; }));
    BOOST_TEST(slow->bytes_read > answer_bytes);
}

// Guards against an answer that is cut as the time for the last bytes of a connection began when it
// was handed over.
BOOST_AUTO_TEST_CASE(an_answer_is_read_to_its_end_before_its_connection_is_closed)
{
    limits.idle_timeout = 3s;
    limits.closing = true;
    const auto slow = reader();
    answer_largely(0);
    slow->read();
    BOOST_TEST(becomes_true([&] { return slow->ended; }));
    BOOST_TEST(slow->bytes_read > answer_bytes);
}

BOOST_AUTO_TEST_CASE(a_caller_that_reads_nothing_is_closed)
{
    limits.idle_timeout = 200ms;
    const auto slow = reader();
    answer_largely(0);
    BOOST_TEST(listener.active_requests() == 1U);
    BOOST_TEST(becomes_true([&] { return listener.connections() == 0; }));
}

// Guards against a caller of HTTP/1.0 that takes the beginning of an answer for all of it.
BOOST_AUTO_TEST_CASE(an_answer_without_a_length_that_is_given_up_ends_with_a_reset)
{
    limits.idle_timeout = 200ms;
    tcp::socket socket(loop);
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), listener.port()));
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /a HTTP/1.0\r\n\r\n")));
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    requests[0]->begin(http::make_response(http::status::ok));
    requests[0]->write(std::string(answer_bytes, 'a'));
    requests[0]->finish();
    BOOST_REQUIRE(becomes_true([&] { return listener.connections() == 0; }));
    boost::system::error_code error;
    std::array<char, 65536> buffer{};
    while (!error)
    {
        socket.read_some(boost::asio::buffer(buffer), error);
    }
    BOOST_TEST((error == boost::asio::error::connection_reset));
}

// Guards against answers that pile up on a connection whose caller doesn't read.
BOOST_AUTO_TEST_CASE(the_next_request_begins_when_the_answer_has_been_taken)
{
    const auto slow = reader();
    boost::asio::write(slow->socket, boost::asio::buffer(get_request));
    answer_largely(0);
    settle();
    BOOST_TEST(requests.size() == 1U);
    slow->read();
    BOOST_TEST(becomes_true([&] { return requests.size() == 2; }));
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_not_read_has_no_room_until_it_is)
{
    const auto slow = reader();
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty(); }));
    requests[0]->begin(http::make_response(http::status::ok));
    BOOST_TEST(requests[0]->has_room());
    requests[0]->write(std::string(answer_bytes, 'a'));
    BOOST_TEST(!requests[0]->has_room());
    slow->read();
    BOOST_TEST(becomes_true([&] { return requests[0]->has_room(); }));
}

// Guards against bodies that each are within the limits and together take all memory.
BOOST_AUTO_TEST_CASE(a_body_without_room_waits_and_is_refused_before_it_has_run)
{
    limits.memory = std::make_shared<http::memory_budget>(
        http::memory_limits{.total = 1U << 20U, .large_requests = 70000, .large_answers = 70000});
    auto& budget = *limits.memory;
    limits.body_bytes = 100000;
    const std::string upload = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 80000\r\n\r\n";
    const auto first = caller();
    first->send(upload);
    BOOST_REQUIRE(becomes_true([&] { return budget.held() > 80000; }));
    const auto second = caller();
    second->send(upload);
    const auto ordinary = caller();
    ordinary->send(get_request);
    BOOST_TEST(becomes_true([&] { return requests.size() == 1; }));
    BOOST_TEST(becomes_true([&] { return second->received.starts_with("HTTP/1.1 503"); }));
    BOOST_TEST(budget.counts.refused == 1U);

    const auto third = caller();
    third->send(upload);
    BOOST_TEST(becomes_true([&] { return budget.counts.waits == 2; }));
    first->close();
    third->send(std::string(80000, 'b'));
    BOOST_TEST(becomes_true([&] { return requests.size() == 2; }));
}

// Guards against a crowd that holds what there is until its time is over.
BOOST_AUTO_TEST_CASE(who_withholds_a_body_gives_way_where_room_is_scarce)
{
    limits.memory = std::make_shared<http::memory_budget>(
        http::memory_limits{.total = 1U << 20U, .large_requests = 70000, .large_answers = 70000});
    auto& budget = *limits.memory;
    limits.body_bytes = 100000;
    const auto withholding = caller();
    withholding->send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 80000\r\n\r\n");
    const auto idle = caller();
    BOOST_REQUIRE(becomes_true([&] { return budget.held() > 80000; }));
    const auto gives_way = [&]
    {
        listener.relieve(budget);
        return withholding->received.starts_with("HTTP/1.1 408");
    };
    BOOST_TEST(becomes_true(gives_way));
    BOOST_TEST(budget.counts.closed_withholding == 1U);
    BOOST_TEST(!idle->ended);
}

BOOST_AUTO_TEST_SUITE_END()
