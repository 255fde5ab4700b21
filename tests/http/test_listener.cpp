#include "server_fixture.hpp"

using namespace caraway;
using namespace std::chrono_literals;
using http_tests::connect_to;
using http_tests::count_of;
using http_tests::get_request;

BOOST_FIXTURE_TEST_SUITE(listeners, http_tests::server_fixture)

// Turning callers away must not take the processor from those who are served.
BOOST_AUTO_TEST_CASE(beyond_its_bound_callers_are_refused_without_the_process)
{
    listener.set_admission([] { return false; });
    const auto first = caller();
    settle();

    BOOST_CHECK_THROW(caller(), boost::system::system_error);
}

// What is open goes on; later callers come in again at the same address.
BOOST_AUTO_TEST_CASE(connections_taken_before_the_bound_are_served_and_new_ones_after_it)
{
    bool more = false;
    listener.set_admission([&] { return more; });
    const auto before = caller();
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));
    before->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 1; }));
    requests[0]->respond(http::make_response(http::status::ok), "before");
    BOOST_TEST(becomes_true([&] { return count_of(before->heard, "before") == 1; }));

    more = true;
    listener.resume();
    const auto after = caller();
    after->say(get_request);
    BOOST_TEST(becomes_true([&] { return requests.size() == 2; }));
    BOOST_TEST(listener.refusals() == 1U);
    BOOST_TEST(!listener.refusing());
}

// A failed wait for connections from before a pause must not begin another one.
BOOST_AUTO_TEST_CASE(a_listener_that_opens_again_at_once_stays_open)
{
    bool more = false;
    listener.set_admission([&] { return more; });
    boost::asio::io_context elsewhere;
    const auto end = connect_to(elsewhere, listener.port());
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));

    more = true;
    listener.resume();
    settle();

    BOOST_TEST(!listener.refusing());
    BOOST_TEST(listener.refusals() == 1U);
}

// Its caller must be able to tell that nothing was read: no byte of an answer, and no request.
BOOST_AUTO_TEST_CASE(connections_that_wait_at_the_bound_end_unread)
{
    boost::asio::io_context elsewhere;
    listener.set_admission([] { return false; });
    const auto taken = connect_to(elsewhere, listener.port());
    const auto waits = connect_to(elsewhere, listener.port());
    waits->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));

    const auto until = clock.now() + 10s;
    while (!waits->ended && clock.now() < until)
    {
        elsewhere.run_one_for(20ms);
    }
    BOOST_TEST(waits->ended);
    BOOST_TEST(waits->heard.empty());
    BOOST_TEST(!taken->ended);
    settle();
    BOOST_TEST(requests.empty());
}

// While it has as many connections as it may have, none of them idle.
BOOST_AUTO_TEST_CASE(callers_are_refused_while_no_connection_can_make_room)
{
    std::vector<std::shared_ptr<http_tests::raw_end>> busy;
    for (std::size_t each = 0; each < 100; ++each)
    {
        busy.push_back(caller());
        busy.back()->say(get_request);
    }
    BOOST_REQUIRE(becomes_true([&] { return requests.size() == 100; }));
    const auto beyond = caller();
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));
    BOOST_CHECK_THROW(caller(), boost::system::system_error);

    requests.front()->respond(http::make_response(http::status::ok), "done");
    BOOST_REQUIRE(becomes_true([&] { return count_of(busy.front()->heard, "done") == 1; }));
    settle();
    listener.resume();
    const auto after = caller();
    after->say(get_request);
    BOOST_TEST(becomes_true([&] { return requests.size() == 101; }));
}

// A listener that was closed for good isn't opened by a tick that comes after.
BOOST_AUTO_TEST_CASE(a_closed_listener_stays_closed)
{
    listener.set_admission([] { return false; });
    const auto taken = caller();
    BOOST_REQUIRE(becomes_true([&] { return listener.refusing(); }));
    listener.close();
    listener.resume();

    BOOST_CHECK_THROW(caller(), boost::system::system_error);
}

// A connection must not hand out what it reads once its listener is gone.
BOOST_AUTO_TEST_CASE(connections_end_with_their_listener)
{
    const auto limits_of = [this]
    {
        return limits;
    };
    const auto take = [this](const auto& request)
    {
        requests.push_back(request);
    };
    auto other = std::make_unique<http::listener>(loop, timers, limits_of, take, 100);
    BOOST_REQUIRE(other->open({.ip = "127.0.0.1", .port = 0}).has_value());
    const auto end = connect_to(loop, other->port());
    BOOST_REQUIRE(becomes_true([&] { return other->connections() == 1; }));
    end->say(get_request);

    other.reset();

    BOOST_TEST(becomes_true([&] { return end->ended; }));
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(idle_connections_are_closed_and_busy_ones_are_not)
{
    const auto idle = caller();
    const auto busy = caller();
    busy->say(get_request);
    BOOST_REQUIRE(becomes_true([&] { return !requests.empty() && listener.connections() == 2; }));

    listener.close_idle();

    BOOST_TEST(becomes_true([&] { return idle->ended; }));
    settle();
    BOOST_TEST(!busy->ended);
}

// Symptom: two thirds of a zone's requests found their connection reset, unread.
// Sequence: refused callers came back on new connections; those they left idle filled the router up
// to its limit, and new ones were closed.
// Cause: idle connections were kept as long as the configuration allows, whoever waited outside.
BOOST_AUTO_TEST_CASE(the_oldest_idle_connections_make_room_for_new_ones)
{
    std::vector<std::shared_ptr<http_tests::raw_end>> idle;
    idle.reserve(100);
    for (int each = 0; each < 100; ++each)
    {
        idle.push_back(caller());
    }
    BOOST_REQUIRE(becomes_true([&] { return listener.connections() == 100; }));

    const auto late = caller();
    late->say(get_request);

    BOOST_TEST(becomes_true([&] { return requests.size() == 1; }));
    BOOST_TEST(becomes_true([&] { return idle.front()->ended; }));
    BOOST_TEST(!idle.back()->ended);
}

// Symptom: callers waited for a second in the queue of the listening socket, and left.
// Sequence: hundreds of new connections a second came to a busy router.
// Cause: each turn of its event loop, some milliseconds long, took one of them.
BOOST_AUTO_TEST_CASE(a_turn_of_the_loop_takes_all_connections_that_wait)
{
    boost::asio::io_context callers;
    std::vector<std::shared_ptr<http_tests::raw_end>> ends;
    ends.reserve(40);
    for (int count = 0; count < 40; ++count)
    {
        ends.push_back(connect_to(callers, listener.port()));
    }

    loop.restart();
    loop.run_one_for(5s);

    BOOST_TEST(listener.connections() == 40);
}

BOOST_AUTO_TEST_SUITE_END()
