#include "loop_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(timer_queues, http_tests::loop_fixture)

// A deadline whose wait is over when its queue goes must not run any more.
BOOST_AUTO_TEST_CASE(a_queue_that_is_gone_runs_nothing)
{
    auto queue = std::make_unique<http::timer_queue>(loop, clock);
    bool ran = false;
    timers.after(1ms, [&] { queue.reset(); });
    queue->after(1ms, [&] { ran = true; });
    const auto both_due = clock.now() + 5ms;
    while (clock.now() < both_due)
    {
    }

    settle();

    BOOST_TEST(queue == nullptr);
    BOOST_TEST(!ran);
}

BOOST_AUTO_TEST_SUITE_END()
