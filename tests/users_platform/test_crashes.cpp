#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <memory>

using namespace users_platform_tests;
using run = stand_in_runner::run;

namespace
{

const std::string crashing_body = "crashes its runner";

/// Crashes on one body: breaks the connection and stops listening.
void run_or_crash(stand_in_runner& runner, const run& current)
{
    if (current.body == crashing_body)
    {
        runner.stop_listening();
        current.exchange->abort();
        return;
    }
    runner.succeed(current, "fine");
}

struct crash_fixture : router_fixture
{
    crash_fixture()
    {
        for (auto& runner : runners)
        {
            runner.next_behaviours.assign(40, run_or_crash);
        }
    }

    std::size_t crash_count() const
    {
        std::size_t count = 0;
        for (const auto& runner : runners)
        {
            for (const auto& past_run : runner.runs)
            {
                count += past_run.body == crashing_body ? 1 : 0;
            }
        }
        return count;
    }

    std::array<stand_in_runner, 7> runners{{{loop, timers, "i-1"},
                                            {loop, timers, "i-2"},
                                            {loop, timers, "i-3"},
                                            {loop, timers, "i-4"},
                                            {loop, timers, "i-5"},
                                            {loop, timers, "i-6"},
                                            {loop, timers, "i-7"}}};
};

/// Two runners that crash on one body and start again under their ids, at other addresses.
struct restarting_runners_fixture : router_fixture
{
    restarting_runners_fixture()
    {
        accept_configuration(1, {{.prefix = "/a/"}});
        start_runner("i-1");
        start_runner("i-2");
    }

    void start_runner(const std::string& id)
    {
        auto started = std::make_unique<stand_in_runner>(loop, timers, id);
        started->next_behaviours.assign(40, run_or_crash);
        started->process_start = next_process_start;
        next_process_start += 1000;
        add_upstream(*started);
        running[id] = started.get();
        runners.push_back(std::move(started));
    }

    /// Sends the crashing request; returns its answer.
    std::string send_crashing(caraway::router::daemon& router, int attempt)
    {
        const auto end = send_request(router, "/a/x", "bad-" + std::to_string(attempt),
                                      "Api-Key: key-1\r\n", crashing_body);
        BOOST_REQUIRE(
            becomes_true([&] { return end->received.find("\r\n\r\n") != std::string::npos; }));
        return end->received;
    }

    /// Starts the runners that crashed again, and waits until the router knows of it.
    void restart_crashed()
    {
        std::vector<std::string> crashed;
        for (const auto& [id, runner] : running)
        {
            const auto& runs = runner->runs;
            if (std::any_of(runs.begin(), runs.end(),
                            [](const run& past) { return past.body == crashing_body; }))
            {
                crashed.push_back(id);
            }
        }
        for (const auto& id : crashed)
        {
            ++crash_count;
            const auto process_start = std::to_string(next_process_start);
            start_runner(id);
            BOOST_REQUIRE(becomes_true(
                [&] {
                    return logged({"upstream_restarted", R"("born":)" + process_start});
                }));
        }
    }

    std::int64_t next_process_start = 1000;
    std::vector<std::unique_ptr<stand_in_runner>> runners;
    std::map<std::string, stand_in_runner*> running;
    int crash_count = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crashes, crash_fixture)

// Guards against one request that crashes all runners of a service. Each runner that began the
// request crashed, its caller kept sending the request again, and the router didn't connect the
// crashes with the request.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_its_runners_is_rejected_before_all_have_crashed)
{
    accept_configuration(1, {{.prefix = "/a/"}});
    for (const auto& runner : runners)
    {
        add_upstream(runner);
    }
    auto& router = start_router();
    BOOST_REQUIRE(
        becomes_true([&] { return router.state()["upstreams"].size() == runners.size(); }));

    bool rejected = false;
    for (int attempt = 0; attempt < 20 && !rejected; ++attempt)
    {
        const auto end = send_request(router, "/a/x", "bad-" + std::to_string(attempt),
                                      "Api-Key: key-1\r\n", crashing_body);
        BOOST_REQUIRE(
            becomes_true([&] { return end->received.find("\r\n\r\n") != std::string::npos; }));
        rejected = end->received.find("crashes_upstreams") != std::string::npos;
        // Requests of other callers detect which runners are unreachable.
        for (int number = 0; number < 6; ++number)
        {
            const auto id = "good-" + std::to_string(attempt) + "-" + std::to_string(number);
            const auto good = send_request(router, "/a/y", id, "Api-Key: key-1\r\n", id);
            BOOST_TEST(receives_status(good, "200"));
        }
    }

    BOOST_TEST(rejected);
    BOOST_TEST(crash_count() <= 5);
    BOOST_TEST(becomes_true([&] { return logged({R"("event":"upstream_crash")"}); }));
    const auto crashes_before = crash_count();
    BOOST_TEST(receives_status(
        send_request(router, "/a/x", "again", "Api-Key: key-1\r\n", crashing_body), "503"));
    BOOST_TEST(crash_count() == crashes_before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(crashes_under_the_same_ids, restarting_runners_fixture)

// Guards against a request that crashes the runners of a service for good: there are fewer than
// three, each starts again under its id, and its crashes are counted once.
BOOST_AUTO_TEST_CASE(each_process_that_a_request_crashes_counts)
{
    auto& router = start_router();

    bool rejected = false;
    for (int attempt = 0; attempt < 6 && !rejected; ++attempt)
    {
        rejected = send_crashing(router, attempt).find("crashes_upstreams") != std::string::npos;
        restart_crashed();
        const auto id = "good-" + std::to_string(attempt);
        BOOST_TEST(receives_status(send_request(router, "/a/y", id), "200"));
    }

    BOOST_TEST(rejected);
    BOOST_TEST(crash_count == 3);
}

BOOST_AUTO_TEST_SUITE_END()
