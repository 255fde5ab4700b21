#include "../shares/shares_model.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

namespace
{

/// A workspace that asks `factor` times its usual rate between two times.
tests::demand flood(const std::string& workspace, int routers, double rate, double factor,
                    std::chrono::milliseconds from, std::chrono::milliseconds until)
{
    return {.workspace = workspace,
            .routers = routers,
            .rates = {{0ms, rate}, {from, factor * rate}, {until, rate}}};
}

/// Floods that hand over: eleven, three and ten workspaces ask much more than usual, one set after
/// the other.
std::vector<tests::demand> floods_that_hand_over()
{
    std::vector<tests::demand> demands;
    const auto add = [&](const std::string& set, int count, double factor,
                         std::chrono::milliseconds from, std::chrono::milliseconds until)
    {
        for (int index = 0; index < count; ++index)
        {
            const double rate = 30.0 / (1 + index);
            const int routers = std::max(1, 20 / (1 + index));
            demands.push_back(
                flood(set + std::to_string(index), routers, rate, factor, from, until));
        }
    };
    add("first", 11, 11, 3500ms, 11300ms);
    add("second", 3, 5, 9500ms, 17500ms);
    add("third", 10, 15, 13500ms, 21000ms);
    return demands;
}

/// Engines do 2.3 times the configured tokens a second; slots kept for those within their share may
/// idle.
const tests::shares_model_options fleet{.routers = 20,
                                        .engines = 24,
                                        .slots = 24,
                                        .service_time = 1200ms,
                                        .open_slots =
                                            routing::admission_options{}.slot_share_contended,
                                        .tokens_per_request = 12000,
                                        .configured_tokens_per_second = 2.5e6,
                                        .digest_period = 500ms,
                                        .begun_with_slot = true};

}  // namespace

BOOST_AUTO_TEST_SUITE(share_waves)

BOOST_AUTO_TEST_CASE(a_flood_that_takes_over_from_another_is_not_shut_off_for_what_it_had_before)
{
    tests::shares_model model(fleet, floods_that_hand_over());
    model.run_until(21s);

    BOOST_TEST(model.worst_fairness(21) >= 1);
    BOOST_TEST(model.idle_while_waiting(5, 21) < 0.02);
}

BOOST_AUTO_TEST_SUITE_END()
