#include "cost_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace router_cost_tests
{

using namespace caraway;
using namespace std::chrono_literals;
using users_platform_tests::stand_in_runner;

int repetitions()
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    constexpr int by_default = 3;
    return suite.argc > 1 ? std::stoi(suite.argv[1]) : by_default;
}

routing::digest busy_digest(const std::string& sender)
{
    routing::digest message{.sender = base::node_id(sender),
                            .incarnation = 1'700'000'000'000'000,
                            .sequence = 1,
                            .zone = base::zone_id("zone-1"),
                            .callers = {.ip = "127.0.0.1", .port = 9001},
                            .control = {.ip = "127.0.0.1", .port = 9002},
                            .datagrams = {.ip = "127.0.0.1", .port = 9003},
                            .ready = true,
                            .capacity = 0.12,
                            .request_rate = 37.5,
                            .version = base::config_version{1},
                            .tables_fresh_for = 1234567ms,
                            .zones = {{.zone = base::zone_id("zone-1"), .revision = 17},
                                      {.zone = base::zone_id("zone-2"), .revision = 18},
                                      {.zone = base::zone_id("zone-3"), .revision = 19}},
                            .tables = {.answer_count = 4711,
                                       .revision = 123456,
                                       .content_hash = 0x0123456789abcdef,
                                       .answer_age = 90ms},
                            .keeps_origins = true};
    for (std::uint32_t number = 0; number < 8; ++number)
    {
        message.loads[base::upstream_id("engine-instance-" + std::to_string(number))] = {
            .running = 2 + number, .pending_prefill_tokens = 900ULL * number, .held_tokens = 31000};
    }
    for (int number = 0; number < 10; ++number)
    {
        message.usages[base::workspace_id("workspace-" + std::to_string(number))] = {
            .demanded = 40000.0 + number,
            .served = 31000,
            .refused = number < 3 ? 5000.0 : 0.0,
            .held_by_engines = 2000};
    }
    for (std::uint32_t number = 0; number < 12; ++number)
    {
        message.refused.push_back(routing::returns::request_fingerprint{0x9e3779b9U * number});
    }
    return message;
}

cost_fixture::cost_fixture()
{
    router_clock = &paced;
    router_timers = &paced_timers;
    accept_configuration(1, {{.prefix = "/s/",
                              .kind = "streaming",
                              .service = "engines",
                              .max_attempts = 3,
                              .resumable = true}});
    add_upstream(engine, "engines");
    router = &start_router("r1", false);
    run_until([this] { return router->ready(); });
}

cost_fixture::~cost_fixture()
{
    routers.clear();
}

void cost_fixture::run_until(const std::function<bool()>& condition)
{
    const auto deadline = paced.now() + 10s;
    while (!condition() && paced.now() < deadline)
    {
        paced.run_one(loop);
    }
    BOOST_REQUIRE(condition());
}

void cost_fixture::run_pending()
{
    loop.restart();
    loop.poll();
}

std::shared_ptr<http_tests::raw_peer> cost_fixture::caller_of_router()
{
    return http_tests::connect_to(loop, router->options().callers.port);
}

std::shared_ptr<http_tests::raw_peer> cost_fixture::caller_of_engine()
{
    return http_tests::connect_to(loop, engine.address().port);
}

void cost_fixture::stream(const std::shared_ptr<http_tests::raw_peer>& caller, int events)
{
    engine.next_behaviours.assign(1,
                                  [this](stand_in_runner& runner, const stand_in_runner::run& begun)
                                  {
                                      current_ = begun;
                                      runner.begin_stream(begun);
                                      runner.send_event(begun, 1);
                                  });
    const auto id = "request-" + std::to_string(++last_request_);
    const std::string body(400, 'b');
    caller->received.clear();
    caller->send("POST /s/" + id + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id +
                 "\r\nX-Expect-Instance: i-1\r\nApi-Key: key-1\r\nX-Deadline-Ms: 5000\r\n"
                 "X-Model: m\r\nX-Token-Count: 300,50\r\n"
                 "X-Prefix-Hash: aa00:100,bb00:100,cc00:100\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto has_event = [&](int number)
    {
        const auto last = "id: " + std::to_string(number) + "\n";
        const auto at = caller->received.rfind("id: ");
        return at != std::string::npos && caller->received.compare(at, last.size(), last) == 0;
    };
    run_until([&] { return has_event(1); });
    for (int number = 2; number <= events; ++number)
    {
        engine.send_event(*current_, number);
        run_until([&] { return has_event(number); });
    }
    current_->exchange->finish();
    run_until([&] { return caller->received.ends_with("0\r\n\r\n"); });
    BOOST_TEST(caller->received.starts_with("HTTP/1.1 200"));
    current_.reset();
    engine.runs.clear();
    log_lines.clear();
}

}  // namespace router_cost_tests
