#include "request_text.hpp"
#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

using namespace users_platform_tests;
using namespace caraway;
using namespace std::chrono_literals;

namespace
{

/// Runs 1.6 times as fast as the machine's clock, so that each tick of 100 ms is 60 ms late.
class hurried_clock final : public base::clock
{
public:
    base::time_point now() const override
    {
        const auto elapsed = machine_.now() - start_;
        return start_ + elapsed + elapsed * 3 / 5;
    }
    std::chrono::system_clock::time_point wall_time() const override
    {
        return machine_.wall_time();
    }

private:
    base::machine_clock machine_;
    base::time_point start_ = machine_.now();
};

/// Null if the system refuses the connection, or has no room for it to wait. The routers run on the
/// caller's thread, so that a connection that has to wait for them would never be made.
std::shared_ptr<http_tests::raw_peer> connect_at_once(boost::asio::io_context& loop,
                                                      std::uint16_t port)
{
    constexpr int longest_wait_ms = 5;
    using http_tests::tcp;
    tcp::socket socket(loop, tcp::v4());
    socket.native_non_blocking(true);
    const tcp::endpoint address(boost::asio::ip::address_v4::loopback(), port);
    const int started =
        ::connect(socket.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
    if (started != 0 && errno != EINPROGRESS)
    {
        return nullptr;
    }
    pollfd wait{.fd = socket.native_handle(), .events = POLLOUT, .revents = 0};
    if (::poll(&wait, 1, longest_wait_ms) != 1 || (wait.revents & (POLLERR | POLLHUP)) != 0)
    {
        return nullptr;
    }
    auto end = std::make_shared<http_tests::raw_peer>(std::move(socket));
    end->start();
    return end;
}

constexpr auto hold_stream = [](stand_in_runner& runner, const stand_in_runner::run& current)
{
    runner.begin_stream(current);
    runner.send_event(current, 1);
};

/// A router whose processor is at its limit: sixteen streams, the fewest to which it is lowered.
/// Its engines have room for forty, and keep each stream open.
struct flooded_door_fixture : router_fixture
{
    static constexpr int runner_count = 10;

    hurried_clock late_clock;
    http::timer_queue late_timers{loop, late_clock};
    std::vector<std::unique_ptr<stand_in_runner>> runners;
    router::daemon* router = nullptr;
    std::vector<std::shared_ptr<http_tests::raw_peer>> flood;

    flooded_door_fixture()
    {
        for (int number = 0; number < runner_count; ++number)
        {
            runners.push_back(
                std::make_unique<stand_in_runner>(loop, timers, "i-" + std::to_string(number)));
            runners.back()->next_behaviours.assign(40, hold_stream);
            add_upstream(*runners.back(), "engines");
        }
        further_workspaces = {{"south", "key-2"}};
        accept_configuration(1, {{.prefix = "/s/",
                                  .kind = "streaming",
                                  .service = "engines",
                                  .resumable = true,
                                  .timeout_ms = 20000}});
        router_clock = &late_clock;
        router_timers = &late_timers;
        router = &start_router();
        BOOST_REQUIRE(becomes_true([&] { return logged({"\"overload\"", "\"busy\":true"}); }));
    }

    ~flooded_door_fixture()
    {
        routers.clear();
    }

    /// Null if there is no connection.
    std::shared_ptr<http_tests::raw_peer> try_send(const std::string& id, const std::string& key)
    {
        auto end = connect_at_once(loop, router->options().callers.port);
        if (end)
        {
            const auto fields = "Api-Key: " + key +
                                "\r\nX-Model: m\r\nX-Token-Count: 100,50\r\nX-Prefix-Hash: " + id +
                                ":100\r\nX-Deadline-Ms: 6000\r\n";
            end->send(request_text("/s/a", id, fields, "body"));
        }
        return end;
    }

    /// A caller that finds no connection tries again.
    std::shared_ptr<http_tests::raw_peer> send(const std::string& id, const std::string& key)
    {
        std::shared_ptr<http_tests::raw_peer> end;
        BOOST_REQUIRE(becomes_true(
            [&]
            {
                end = try_send(id, key);
                return end != nullptr;
            }));
        return end;
    }

    void send_flood(int count)
    {
        for (int number = 0; number < count; ++number)
        {
            if (auto end = try_send("f" + std::to_string(flood.size()), "key-1"))
            {
                flood.push_back(std::move(end));
            }
        }
    }

    /// Sends the flood's requests until one is refused at the door: from then on the flood is known
    /// to ask for more than its part.
    void flood_until_refused()
    {
        send_flood(60);
        BOOST_REQUIRE(becomes_true(
            [&]
            {
                send_flood(1);
                return refused_at_the_door() > 0;
            }));
    }

    std::size_t refused_at_the_door() const
    {
        std::size_t count = 0;
        for (const auto& end : flood)
        {
            const bool is_refused = end->received.starts_with("HTTP/1.1 503");
            count += is_refused && end->received.ends_with("Connection: close\r\n\r\n") ? 1 : 0;
        }
        return count;
    }

    std::size_t flood_answers(const std::string& code) const
    {
        std::size_t count = 0;
        for (const auto& end : flood)
        {
            count += end->received.starts_with("HTTP/1.1 " + code) ? 1 : 0;
        }
        return count;
    }
};

double retry_after_of(const std::string& answer)
{
    const std::string name = "Retry-After: ";
    const auto at = answer.find(name);
    BOOST_REQUIRE(at != std::string::npos);
    return std::stod(answer.substr(at + name.size()));
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(flooded_doors, flooded_door_fixture)

// Guards against a small workspace that is served by lot beside another one's flood.
BOOST_AUTO_TEST_CASE(a_small_workspace_is_served_beside_a_flood)
{
    flood_until_refused();
    for (int number = 0; number < 3; ++number)
    {
        send_flood(20);
        const auto small = send("s" + std::to_string(number), "key-2");
        BOOST_TEST(receives_status(small, "200"), small->received);
    }
    BOOST_TEST(flood_answers("200") >= 8U);
}

BOOST_AUTO_TEST_CASE(refused_callers_are_told_when_to_come_back)
{
    flood_until_refused();
    BOOST_REQUIRE(becomes_true(
        [&]
        {
            send_flood(1);
            return refused_at_the_door() >= 20;
        }));

    double least = 10;
    double most = 0;
    for (const auto& end : flood)
    {
        if (end->received.starts_with("HTTP/1.1 503"))
        {
            const auto delay = retry_after_of(end->received);
            least = std::min(least, delay);
            most = std::max(most, delay);
        }
    }
    BOOST_TEST(least > 0);
    // A third of the time that the callers have.
    BOOST_TEST(most <= 2.0);
    BOOST_TEST(most - least > 0.2);
}

// The platform asks each second whether the router is ready.
BOOST_AUTO_TEST_CASE(readiness_is_answered_during_a_flood)
{
    send_flood(60);
    const auto check = http_tests::connect_to(loop, router->options().readiness.port);
    check->send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");

    BOOST_TEST(receives_status(check, "200"));
}

// Requests without a known key are refused as those of one workspace, and take nothing from others.
BOOST_AUTO_TEST_CASE(thousands_of_unknown_keys_leave_room_for_a_small_workspace)
{
    for (int wave = 0; wave < 100; ++wave)
    {
        std::vector<std::shared_ptr<http_tests::raw_peer>> ends;
        ends.reserve(20);
        for (int number = 0; number < 20; ++number)
        {
            const auto key = "unknown-" + std::to_string(wave * 20 + number);
            ends.push_back(try_send("u" + std::to_string(number), key));
            loop.poll();
        }
        settle();
    }
    auto small = send("s", "key-2");

    // A caller that is closed unread tries again.
    BOOST_TEST(becomes_true(
        [&]
        {
            if (small->ended && small->received.empty())
            {
                small = send("s", "key-2");
            }
            return small->received.starts_with("HTTP/1.1 200");
        }));
}

BOOST_AUTO_TEST_SUITE_END()
