#include "../users_platform/jumping_clock.hpp"

#include "libcaraway/router/table_sync.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

namespace
{

/// A table whose calls to the store are answered by the test.
struct answered_table
{
    boost::asio::io_context loop;
    users_platform_tests::jumping_clock clock;
    http::timer_queue timers{loop, clock};
    telemetry::line_log log{clock, [](std::string_view line)
                            {
                                return line.size();
                            }};
    router::rows_callback answer;
    router::table_sync table{
        "upstreams",
        timers,
        log,
        {.read_all = [this](router::rows_callback done) { answer = std::move(done); },
         .follow =
             [this](auto, auto, router::rows_callback done)
         {
             answer = std::move(done);
         }},
        {},
        {.all = [](const auto&) {},
         .changed = [](const auto&) {},
         .unreachable = [] {},
         .recovered =
             [] {
             }}};

    void run_until_called()
    {
        constexpr int max_turns = 1000;
        for (int turn = 0; turn < max_turns && !answer; ++turn)
        {
            loop.restart();
            loop.run_one_for(10ms);
        }
        BOOST_REQUIRE(answer != nullptr);
    }
    void answer_call()
    {
        std::exchange(answer, nullptr)(router::rows_answer{.revision = 1});
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(store_answers, answered_table)

// The answer arrives before the VM stands still, and is read after.
BOOST_AUTO_TEST_CASE(a_stores_answer_does_not_confirm_the_time_in_which_a_router_stood_still)
{
    table.start();
    run_until_called();
    answer_call();
    run_until_called();
    const auto called = clock.now();

    clock.ahead = 4s;
    answer_call();

    BOOST_TEST((table.last_answer() <= called));
}

BOOST_AUTO_TEST_SUITE_END()
