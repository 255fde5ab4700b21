#include "../users_platform/digest_sender.hpp"
#include "../users_platform/router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace caraway;
using namespace std::chrono_literals;

namespace
{

/// The machine's clock, which can be set ahead.
class shifted_clock final : public base::clock
{
public:
    base::time_point now() const override
    {
        return machine_.now() + shift_;
    }
    std::chrono::system_clock::time_point wall_time() const override
    {
        return machine_.wall_time();
    }
    void advance(base::duration by)
    {
        shift_ += by;
    }

private:
    base::machine_clock machine_;
    base::duration shift_{};
};

struct connection_fixture : router_fixture
{
    stand_in_runner runner{loop, timers, "i-1"};
    digest_sender sender{loop};
    shifted_clock shifted;
    http::timer_queue shifted_timers{loop, shifted};

    connection_fixture()
    {
        accept_configuration(1, {{.prefix = "/a/", .timeout_ms = 10000}});
        add_upstream(runner);
        router_clock = &shifted;
        router_timers = &shifted_timers;
    }
    ~connection_fixture()
    {
        routers.clear();
    }

    /// Runs one handler at a time until the router has read a request: queued it or placed it.
    void run_until_read(router::daemon& router)
    {
        const auto deadline = clock.now() + 10s;
        while (!holds_request(router) && clock.now() < deadline)
        {
            loop.restart();
            loop.run_one_for(20ms);
        }
        BOOST_REQUIRE(holds_request(router));
        BOOST_REQUIRE(runner.runs.empty());
    }

    static bool holds_request(router::daemon& router)
    {
        const auto state = router.state();
        return state["waiting"] == 1 || state["upstreams"][0]["running"] == 1;
    }

    void send_digest(router::daemon& router, std::uint64_t sequence,
                     std::vector<routing::leaving_upstream> leaving)
    {
        sender.send(router, {.sender = base::node_id("r2"),
                             .incarnation = 1,
                             .sequence = sequence,
                             .zone = base::zone_id("z1"),
                             .leaving = std::move(leaving)});
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(late_connections, connection_fixture)

// Guards against a request sent to an upstream that announced, while the connection for it was
// opened, that it leaves.
BOOST_AUTO_TEST_CASE(a_request_is_not_sent_if_its_upstream_leaves_while_the_connection_is_opened)
{
    auto& router = start_router();
    const auto caller = send_request(router, "/a/", "id-1");
    run_until_read(router);
    send_digest(router, 1, {{.id = base::upstream_id("i-1")}});
    shifted.advance(250ms);

    BOOST_TEST(receives_status(caller, "503"));
    BOOST_TEST(runner.runs.empty());
}

// Guards against a request placed on what digests said before the router stood still: the socket
// holds the oldest of those that came meanwhile, and the newest are lost.
BOOST_AUTO_TEST_CASE(a_router_that_stood_still_waits_for_a_new_digest_before_it_places_requests)
{
    auto& router = start_router();
    send_digest(router, 1, {});
    BOOST_REQUIRE(becomes_true([&] { return router.state()["peers"].size() == 1; }));
    send_digest(router, 2, {});
    shifted.advance(2s);
    const auto caller = send_request(router, "/a/", "id-1");
    run_until_read(router);
    send_digest(router, 3, {{.id = base::upstream_id("i-1")}});

    BOOST_TEST(receives_status(caller, "503"));
    BOOST_TEST(runner.runs.empty());
}

BOOST_AUTO_TEST_SUITE_END()
