#include "loop_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(timer_queues, http_tests::loop_fixture)

// A timer handler already queued in the event loop must not run after its timer queue was
// destroyed.
BOOST_AUTO_TEST_CASE(a_destroyed_queue_runs_no_actions)
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
