#include "../shares/shares_model.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

namespace
{

/// All workspaces ask `factor` times as much from the third second on; the largest comes in at all
/// routers, the others at fewer. Engines do 5.4 million tokens a second.
std::vector<tests::demand> burst(double factor)
{
    const auto from_third_second = [&](double rate)
    {
        return std::map<std::chrono::milliseconds, double>{{0ms, rate}, {3000ms, factor * rate}};
    };
    constexpr int small_workspaces = 8;
    std::vector<tests::demand> demands;
    demands.reserve(small_workspaces + 3);
    for (int index = 0; index < small_workspaces; ++index)
    {
        demands.push_back({.workspace = "small" + std::to_string(index),
                           .routers = 2,
                           .rates = from_third_second(1)});
    }
    demands.push_back({.workspace = "largest", .routers = 15, .rates = from_third_second(120)});
    demands.push_back({.workspace = "second", .routers = 10, .rates = from_third_second(30)});
    demands.push_back({.workspace = "third", .routers = 5, .rates = from_third_second(12)});
    return demands;
}

/// Digests as far apart as in a fleet of 85 routers. Slots kept for those within their share may
/// idle.
const tests::shares_model_options fleet{.engines = 28,
                                        .open_slots =
                                            routing::admission_options{}.slot_share_contended,
                                        .tokens_per_request = 24000,
                                        .configured_tokens_per_second = 2.9e6,
                                        .digest_period = 500ms,
                                        .begun_with_slot = true};

}  // namespace

BOOST_AUTO_TEST_SUITE(share_bursts)

BOOST_AUTO_TEST_CASE(a_burst_of_all_workspaces_does_not_starve_the_smaller_ones)
{
    for (const double factor : {3.0, 5.0, 7.0})
    {
        tests::shares_model model(fleet, burst(factor));
        model.run_until(16s);

        BOOST_TEST_CONTEXT("factor " << factor)
        {
            BOOST_TEST(model.worst_fairness(16) >= 1);
            BOOST_TEST(model.idle_while_waiting(6, 16) < 0.02);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_burst_with_a_third_of_the_engines_lost_does_not_starve_the_smaller_ones)
{
    for (const double factor : {3.0, 5.0, 7.0})
    {
        tests::shares_model model(fleet, burst(factor));
        model.run_until(5s);
        model.lose_engines(9);
        model.run_until(16s);

        BOOST_TEST_CONTEXT("factor " << factor)
        {
            BOOST_TEST(model.worst_fairness(16) >= 1);
            BOOST_TEST(model.idle_while_waiting(7, 16) < 0.02);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
