#include "../clients/client_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace client_tests;
using namespace std::chrono_literals;

namespace
{

/// Of the router, as its settings state it.
constexpr std::chrono::seconds grace{8};
/// For which requests are accepted after SIGTERM.
constexpr std::chrono::seconds accepted_for{3};

struct stop_fixture : client_fixture
{
    std::shared_ptr<http_tests::raw_peer> connect()
    {
        return http_tests::connect_to(loop, router.ports().callers);
    }

    std::shared_ptr<http_tests::raw_peer> send(const std::string& path, const std::string& body,
                                               std::size_t announced_bytes)
    {
        auto caller = connect();
        const auto length = "Content-Length: " + std::to_string(announced_bytes) + "\r\n";
        caller->send(head(path, ++requests, length) + body);
        return caller;
    }

    void stop()
    {
        router.send_signal(SIGTERM);
        stopped = clock.now();
    }

    void run_until(std::chrono::milliseconds after_stop)
    {
        while (clock.now() < stopped + after_stop)
        {
            loop.restart();
            loop.run_one_for(10ms);
        }
    }

    /// The head of the answer; empty if the connection ends without one.
    std::string answer_to(const std::shared_ptr<http_tests::raw_peer>& caller)
    {
        becomes_true(
            [&]
            { return caller->ended || caller->received.find("\r\n\r\n") != std::string::npos; });
        return caller->received;
    }

    std::size_t requests = 0;
    caraway::base::time_point stopped{};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stop, stop_fixture)

// Guards against requests that are cut without an answer at the end of the grace: they were taken
// before or after SIGTERM, and their upstreams need longer than the grace.
BOOST_AUTO_TEST_CASE(what_is_under_way_at_the_end_of_the_grace_gets_an_answer)
{
    const auto before = send("/held", "body", 4);
    run_until(100ms);
    stop();
    run_until(accepted_for - 500ms);
    const auto late = send("/held", "body", 4);
    run_until(grace - 1s);
    BOOST_TEST(before->received.empty());

    // The upstreams may have run them.
    BOOST_TEST(answer_to(before).starts_with("HTTP/1.1 502"), before->received);
    BOOST_TEST(answer_to(late).starts_with("HTTP/1.1 502"), late->received);
    BOOST_TEST(becomes_true([&] { return !router.is_running(); }));
    BOOST_TEST((clock.now() - stopped < grace));
    BOOST_TEST(router.exit_status() == 0);
}

// Guards against a caller that sends a body to the end of the grace, though its request will be
// refused, and then finds the connection closed.
BOOST_AUTO_TEST_CASE(a_request_that_is_incomplete_when_requests_are_refused_is_told_so)
{
    stop();
    run_until(accepted_for - 500ms);
    const auto incomplete = send("/ordinary", "half", 8);
    run_until(accepted_for + 1s);

    BOOST_TEST(answer_to(incomplete).starts_with("HTTP/1.1 503"), incomplete->received);
}

// Guards against a connection that is closed as idle while its first request is on its way.
BOOST_AUTO_TEST_CASE(a_connection_that_was_just_opened_is_not_closed_as_idle)
{
    stop();
    run_until(2100ms);
    const auto caller = connect();
    run_until(2700ms);
    BOOST_TEST(!caller->ended);

    caller->send(head("/ordinary", 1, "Content-Length: 4\r\n") + "body");

    BOOST_TEST(answer_to(caller).starts_with("HTTP/1.1 200"), caller->received);
}

BOOST_AUTO_TEST_SUITE_END()
