#include "../clients/client_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <random>
#include <thread>

using namespace client_tests;

namespace
{

constexpr std::size_t pairs = 10000;
constexpr std::chrono::microseconds longest_gap{600};

struct signal_fixture : client_fixture
{
    /// Sends pairs of signals, the second one shortly after the first, as long as the process runs.
    void send_pairs(int first_signal, int second_signal)
    {
        std::mt19937 random(1);
        std::uniform_int_distribution<long> gap(0, longest_gap.count());
        for (std::size_t pair = 0; pair < pairs && router.is_running(); ++pair)
        {
            router.send_signal(first_signal);
            std::this_thread::sleep_for(std::chrono::microseconds(gap(random)));
            router.send_signal(second_signal);
            loop.restart();
            loop.run_for(std::chrono::microseconds(200));
        }
    }
};

}  // namespace

// Guards against a process that a signal ends while it handles the one before.

BOOST_FIXTURE_TEST_SUITE(signals, signal_fixture)

BOOST_AUTO_TEST_CASE(a_second_change_of_settings_ends_nothing)
{
    send_pairs(SIGHUP, SIGHUP);
    BOOST_TEST(router.is_running());
    BOOST_TEST(is_request_answered());
}

BOOST_AUTO_TEST_CASE(a_stop_beside_a_change_of_settings_is_graceful)
{
    router.send_signal(SIGHUP);
    router.send_signal(SIGTERM);
    router.send_signal(SIGTERM);
    BOOST_TEST(becomes_true([&] { return !router.is_running(); }));
    BOOST_TEST(router.exit_status() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
