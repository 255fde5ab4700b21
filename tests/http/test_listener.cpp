#include "server_fixture.hpp"

using namespace caraway;
using namespace std::chrono_literals;
using http_tests::connect_to;
using http_tests::count_of;
using http_tests::get_request;
using http_tests::tcp;

BOOST_FIXTURE_TEST_SUITE(listeners, http_tests::server_fixture)

// Refusing callers must not take processor time from callers that are being served.
BOOST_AUTO_TEST_CASE(callers_beyond_the_limit_are_refused_by_the_kernel)
{
    listener.set_admission([] { return false; });
    const auto first = caller();
    settle();

    BOOST_CHECK_THROW(caller(), boost::system::system_error);
}

// Open connections are still served, and after `resume` new ones are accepted at the same address.
BOOST_AUTO_TEST_CASE(open_connections_are_served_during_a_refusal_and_new_ones_after_it)
{
    bool admits_more = false;
    listener.set_admission([&] { return admits_more; });
    const auto before = caller();
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));
    before->send(get_request);
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 1; }));
    requests[0]->respond(http::make_response(http::status::ok), "before");
    BOOST_TEST(becomes_true([&] { return count_of(before->received, "before") == 1; }));

    admits_more = true;
    listener.resume();
    const auto after = caller();
    after->send(get_request);
    BOOST_TEST(becomes_true([&] { return requests.size() == 2; }));
    BOOST_TEST(listener.refusals() == 1U);
    BOOST_TEST(!listener.refusing());
}

// The cancelled accept from before a refusal must not start another refusal.
BOOST_AUTO_TEST_CASE(a_listener_that_resumes_immediately_stays_open)
{
    bool admits_more = false;
    listener.set_admission([&] { return admits_more; });
    boost::asio::io_context caller_loop;
    const auto end = connect_to(caller_loop, listener.port());
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));

    admits_more = true;
    listener.resume();
    settle();

    BOOST_TEST(!listener.refusing());
    BOOST_TEST(listener.refusals() == 1U);
}

// The caller must be able to detect that nothing was read: no byte of an answer is sent, and no
// request is delivered.
BOOST_AUTO_TEST_CASE(connections_in_the_backlog_are_closed_unread)
{
    boost::asio::io_context caller_loop;
    listener.set_admission([] { return false; });
    const auto accepted = connect_to(caller_loop, listener.port());
    const auto pending = connect_to(caller_loop, listener.port());
    pending->send(get_request);
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));

    const auto deadline = clock.now() + 10s;
    while (!pending->ended && clock.now() < deadline)
    {
        caller_loop.run_one_for(20ms);
    }
    BOOST_TEST(pending->ended);
    BOOST_TEST(pending->received.empty());
    BOOST_TEST(!accepted->ended);
    settle();
    BOOST_TEST(requests.empty());
}

// Each connection that waits to be accepted is reset when the listening socket closes, which takes
// processor time from callers that are being served.
BOOST_AUTO_TEST_CASE(a_flood_during_a_late_turn_leaves_few_connections_to_reset)
{
    constexpr std::size_t flood = 600;
    constexpr std::size_t longest_backlog = 300;
    boost::asio::io_context caller_loop;
    std::vector<tcp::socket> callers;
    std::size_t connected = 0;
    for (std::size_t each = 0; each < flood; ++each)
    {
        callers.emplace_back(caller_loop);
        callers.back().async_connect(
            tcp::endpoint(boost::asio::ip::address_v4::loopback(), listener.port()),
            [&](const auto& error) { connected += error ? 0 : 1; });
    }
    caller_loop.run_for(300ms);

    BOOST_TEST(connected > 0);
    BOOST_TEST(connected <= longest_backlog);
}

// The listener has its maximum number of connections, and none of them is idle.
BOOST_AUTO_TEST_CASE(callers_are_refused_while_all_connections_are_busy)
{
    std::vector<std::shared_ptr<http_tests::raw_peer>> busy;
    for (std::size_t each = 0; each < 100; ++each)
    {
        busy.push_back(caller());
        busy.back()->send(get_request);
    }
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 100; }));
    const auto beyond = caller();
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));
    BOOST_CHECK_THROW(caller(), boost::system::system_error);

    requests.front()->respond(http::make_response(http::status::ok), "done");
    BOOST_REQUIRE(becomes_true([&] { return count_of(busy.front()->received, "done") == 1; }));
    settle();
    listener.resume();
    const auto after = caller();
    after->send(get_request);
    BOOST_TEST(becomes_true([&] { return requests.size() == 101; }));
}

// A later call of `resume` must not reopen a closed listener.
BOOST_AUTO_TEST_CASE(a_closed_listener_stays_closed)
{
    listener.set_admission([] { return false; });
    const auto accepted = caller();
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));
    listener.close();
    listener.resume();

    BOOST_CHECK_THROW(caller(), boost::system::system_error);
}

// A connection must not deliver requests after its listener was destroyed.
BOOST_AUTO_TEST_CASE(connections_are_closed_with_their_listener)
{
    const auto read_limits = [this]
    {
        return limits;
    };
    const auto record_request = [this](const auto& request)
    {
        requests.push_back(request);
    };
    auto other = std::make_unique<http::listener>(loop, timers, read_limits, record_request, 100);
    BOOST_REQUIRE(other->open({.ip = "127.0.0.1", .port = 0}).has_value());
    const auto end = connect_to(loop, other->port());
    BOOST_REQUIRE(becomes_true([&] { return other->connections() == 1; }));
    end->send(get_request);

    other.reset();

    BOOST_TEST(becomes_true([&] { return end->ended; }));
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(idle_connections_are_closed_and_busy_ones_are_not)
{
    const auto idle = caller();
    const auto busy = caller();
    busy->send(get_request);
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty() && listener.connections() == 2; }));

    listener.close_idle();

    BOOST_TEST(becomes_true([&] { return idle->ended; }));
    settle();
    BOOST_TEST(!busy->ended);
}

// Guards against resetting the connections of new callers unread, as happened to two thirds of an
// availability zone's requests. Refused callers retried on new connections, and the idle ones that
// they left behind filled the router up to its limit, as idle connections were kept for the full
// configured time.
BOOST_AUTO_TEST_CASE(the_oldest_idle_connections_are_closed_for_new_ones)
{
    std::vector<std::shared_ptr<http_tests::raw_peer>> idle;
    idle.reserve(100);
    for (int each = 0; each < 100; ++each)
    {
        idle.push_back(caller());
    }
    BOOST_REQUIRE(becomes_true([&] { return listener.connections() == 100; }));

    const auto late = caller();
    late->send(get_request);

    BOOST_TEST(becomes_true([&] { return requests.size() == 1; }));
    BOOST_TEST(becomes_true([&] { return idle.front()->ended; }));
    BOOST_TEST(!idle.back()->ended);
}

// Guards against callers waiting for a second in the backlog of the listening socket and giving up.
// A busy router got hundreds of new connections per second, and each iteration of its event loop,
// some milliseconds long, accepted one.
BOOST_AUTO_TEST_CASE(one_loop_iteration_accepts_all_pending_connections)
{
    boost::asio::io_context caller_loop;
    std::vector<std::shared_ptr<http_tests::raw_peer>> ends;
    ends.reserve(40);
    for (int count = 0; count < 40; ++count)
    {
        ends.push_back(connect_to(caller_loop, listener.port()));
    }

    loop.restart();
    loop.run_one_for(5s);

    BOOST_TEST(listener.connections() == 40);
}

BOOST_AUTO_TEST_SUITE_END()
