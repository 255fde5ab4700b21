#include "../users_platform/router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace std::chrono_literals;
using run = stand_in_runner::run;

// Upstreams that refuse requests and ask for a rest.

namespace
{

/// Several times as long as a refusal without a rest keeps a router from its upstream.
constexpr auto observed_time = 800ms;
const std::string long_rest = "60";

stand_in_runner::behaviour refuse_with_rest(const std::string& seconds)
{
    return [seconds](stand_in_runner& upstream, const run& current)
    {
        upstream.reject(current, 503, seconds);
    };
}

struct rest_fixture : router_fixture
{
    stand_in_runner first{loop, timers, "i-1"};
    stand_in_runner second{loop, timers, "i-2"};

    /// Starts a router with both upstreams, for plain requests to /p/ and streams to /e/.
    caraway::router::daemon& serve(const std::string& service)
    {
        accept_configuration(1, {{.prefix = "/p/", .kind = "safe", .max_attempts = 2},
                                 {.prefix = "/e/", .kind = "streaming", .service = "engines"}});
        add_upstream(first, service);
        add_upstream(second, service);
        auto& router = start_router();
        BOOST_REQUIRE(becomes_true([&] { return router.state()["upstreams"].size() == 2; }));
        return router;
    }

    std::shared_ptr<http_tests::raw_peer> send_next(caraway::router::daemon& router,
                                                    const std::string& path)
    {
        return send_request(router, path, "id-" + std::to_string(++sent_));
    }

    /// Sends requests one after the other for `observed_time`; returns how many got this status.
    int send_for_a_while(caraway::router::daemon& router, const std::string& path,
                         const std::string& status)
    {
        int count = 0;
        const auto end = clock.now() + observed_time;
        while (clock.now() < end)
        {
            count += receives_status(send_next(router, path), status) ? 1 : 0;
            ++observed;
        }
        return count;
    }

    bool holds_run(const stand_in_runner& upstream)
    {
        return becomes_true([&] { return !upstream.runs.empty(); });
    }

    int observed = 0;

private:
    int sent_ = 0;
};

void keep_open(stand_in_runner& upstream, const run& current)
{
    upstream.begin_stream(current);
    upstream.send_event(current, 1);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_rests, rest_fixture)

BOOST_AUTO_TEST_CASE(an_upstream_that_asks_for_rest_gets_nothing_until_its_end)
{
    auto& router = serve("plain");
    first.next_behaviours.assign(1000, refuse_with_rest(long_rest));

    BOOST_TEST(send_for_a_while(router, "/p/", "200") == observed);
    BOOST_TEST(first.requests_received == 1);
}

BOOST_AUTO_TEST_CASE(an_engine_that_asks_for_rest_gets_nothing_until_its_end)
{
    auto& router = serve("engines");
    first.next_behaviours.assign(1000, refuse_with_rest(long_rest));

    BOOST_TEST(receives_status(send_next(router, "/e/"), "503"));
    BOOST_TEST(send_for_a_while(router, "/e/", "200") == observed);
    BOOST_TEST(first.requests_received == 1);
}

// An engine that refuses new requests still completes those that it runs.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_well_does_not_end_its_engines_rest)
{
    auto& router = serve("engines");
    first.next_behaviours = {keep_open};
    second.next_behaviours = {keep_open};
    const auto at_first = send_next(router, "/e/");
    BOOST_REQUIRE(holds_run(first));
    const auto at_second = send_next(router, "/e/");
    BOOST_REQUIRE(holds_run(second));
    first.next_behaviours.assign(1000, refuse_with_rest(long_rest));
    BOOST_TEST(receives_status(send_next(router, "/e/"), "503"));

    first.runs[0].exchange->finish();
    BOOST_REQUIRE(becomes_true([&] { return at_first->received.ends_with("0\r\n\r\n"); }));

    BOOST_TEST(receives_status(send_next(router, "/e/"), "200"));
    BOOST_TEST(first.requests_received == 2);
}

BOOST_AUTO_TEST_CASE(upstreams_of_a_service_that_all_ask_for_rest_get_nothing)
{
    auto& router = serve("plain");
    first.next_behaviours.assign(1000, refuse_with_rest(long_rest));
    second.next_behaviours.assign(1000, refuse_with_rest(long_rest));

    BOOST_TEST(send_for_a_while(router, "/p/", "503") == observed);
    BOOST_TEST(first.requests_received == 1);
    BOOST_TEST(second.requests_received == 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_only_resting_upstreams_could_serve_is_refused_at_once)
{
    auto& router = serve("plain");
    first.next_behaviours = {refuse_with_rest(long_rest)};
    second.next_behaviours = {refuse_with_rest(long_rest)};
    BOOST_TEST(receives_status(send_next(router, "/p/"), "503"));

    const auto refused = send_next(router, "/p/");
    BOOST_REQUIRE(receives_status(refused, "503"));
    BOOST_TEST(refused->received.find("upstreams_resting") != std::string::npos);
    // A third of the three seconds that its route allows.
    BOOST_TEST(refused->received.find("Retry-After: 0.9") != std::string::npos);
}

// Guards against requests that are late already being counted as held by resting upstreams.
BOOST_AUTO_TEST_CASE(a_request_without_time_to_wait_is_refused_for_want_of_a_place)
{
    auto& router = serve("engines");
    constexpr std::size_t slots = 4;
    first.next_behaviours.assign(slots, keep_open);
    second.next_behaviours.assign(slots, keep_open);
    std::vector<std::shared_ptr<http_tests::raw_peer>> streams;
    for (std::size_t number = 0; number < 2 * slots; ++number)
    {
        streams.push_back(send_next(router, "/e/"));
        BOOST_REQUIRE(
            becomes_true([&] { return first.runs.size() + second.runs.size() == number + 1; }));
    }
    const auto refused =
        send_request(router, "/e/", "late", "Api-Key: key-1\r\nX-Deadline-Ms: 10\r\n");
    BOOST_REQUIRE(receives_status(refused, "503"));
    BOOST_TEST(refused->received.find("no_place") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requests_wait_for_the_end_of_a_short_rest)
{
    auto& router = serve("plain");
    first.next_behaviours = {refuse_with_rest("0.2")};
    second.next_behaviours = {refuse_with_rest(long_rest)};

    BOOST_TEST(receives_status(send_next(router, "/p/"), "503"));
    BOOST_TEST(receives_status(send_next(router, "/p/"), "200"));
    BOOST_TEST(first.requests_received == 2);
    BOOST_TEST(router.state()["upstreams"][0]["rest_left_ms"].get<int>() == 0);
    BOOST_TEST(router.state()["upstreams"][1]["rest_left_ms"].get<int>() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
