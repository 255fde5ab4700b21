#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace users_platform_tests;
using run = stand_in_runner::run;

namespace
{

const std::string poison = "crashes its runner";

/// Dies of one body: its connections break and it listens no more.
void run_or_die(stand_in_runner& runner, const run& of)
{
    if (of.body == poison)
    {
        runner.stop_listening();
        of.exchange->abort();
        return;
    }
    runner.succeed(of, "fine");
}

struct crash_fixture : router_fixture
{
    crash_fixture()
    {
        for (auto& each : runners)
        {
            each.next.assign(40, run_or_die);
        }
    }

    std::size_t deaths() const
    {
        std::size_t count = 0;
        for (const auto& each : runners)
        {
            for (const auto& of : each.runs)
            {
                count += of.body == poison ? 1 : 0;
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

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crashes, crash_fixture)

// Symptom: one request took down all runners of a service, one after the other.
// Sequence: each runner that began it crashed; its caller sent it again and again.
// Cause: nothing tied the crashes to the request.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_its_runners_is_refused_before_it_has_them_all)
{
    accept(1, {{.prefix = "/a/"}});
    for (const auto& each : runners)
    {
        add(each);
    }
    auto& router = start_router();
    BOOST_REQUIRE(
        becomes_true([&] { return router.state()["upstreams"].size() == runners.size(); }));

    bool refused = false;
    for (int turn = 0; turn < 20 && !refused; ++turn)
    {
        const auto end =
            ask(router, "/a/x", "bad-" + std::to_string(turn), "Api-Key: key-1\r\n", poison);
        BOOST_REQUIRE(
            becomes_true([&] { return end->heard.find("\r\n\r\n") != std::string::npos; }));
        refused = end->heard.find("crashes_upstreams") != std::string::npos;
        // The others' requests find out which runners are gone.
        for (int other = 0; other < 6; ++other)
        {
            const auto id = "good-" + std::to_string(turn) + "-" + std::to_string(other);
            const auto good = ask(router, "/a/y", id, "Api-Key: key-1\r\n", id);
            BOOST_TEST(answered(good, "200"));
        }
    }

    BOOST_TEST(refused);
    BOOST_TEST(deaths() <= 5);
    BOOST_TEST(becomes_true([&] { return logged({R"("event":"upstream_crash")"}); }));
    const auto before = deaths();
    BOOST_TEST(answered(ask(router, "/a/x", "again", "Api-Key: key-1\r\n", poison), "503"));
    BOOST_TEST(deaths() == before);
}

BOOST_AUTO_TEST_SUITE_END()
