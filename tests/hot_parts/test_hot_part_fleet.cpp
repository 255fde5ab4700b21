// Load: 90 engines, a quarter of them at half the speed of the others, and routers that see each
// other's requests half a second late.
#include "fleet_model.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace caraway;
using namespace caraway::hot_parts;
using namespace std::chrono_literals;

namespace
{

model_request summary_of(const std::string& subject, std::mt19937_64& random)
{
    return {.parts = {{.id = "summary", .tokens = 119},
                      {.id = subject, .tokens = 80},
                      {.id = "own" + std::to_string(random()), .tokens = 630}},
            .output_tokens = 280};
}

model_request draft_of(const std::string& subject, std::mt19937_64& random)
{
    return {.parts = {{.id = "draft", .tokens = 500},
                      {.id = subject, .tokens = 4800},
                      {.id = "own" + std::to_string(random()), .tokens = 6600}},
            .output_tokens = 380};
}

/// Arrivals at a rate for each zone, in requests a second, for some time.
struct traffic
{
    fleet_model& fleet;
    std::mt19937_64 random{7};
    std::vector<double> due{};

    template <class Make>
    void play(milliseconds duration, const std::function<double(std::size_t, double)>& per_second,
              const Make& make)
    {
        due.resize(4);
        constexpr milliseconds step{10};
        for (milliseconds at{0}; at < duration; at += step)
        {
            for (std::size_t zone = 0; zone < 4; ++zone)
            {
                due[zone] += per_second(zone, static_cast<double>(at.count()) / 1000) * 0.01;
                std::poisson_distribution<int> count(due[zone]);
                due[zone] = 0;
                for (int number = count(random); number > 0; --number)
                {
                    fleet.send(zone, make(random));
                }
            }
            fleet.run(step);
        }
    }
};

std::string one_of(std::size_t count, std::mt19937_64& random)
{
    return "s" + std::to_string(random() % count);
}

/// The same fleet with one home a part, however hot, of which routers don't tell each other.
model_options with_one_home(model_options options)
{
    options.placement.homes.max_fill = 1e9;
    options.tells_copies = false;
    return options;
}

void print(const char* name, const model_result& result)
{
    BOOST_TEST_MESSAGE(name << ": asked " << result.asked << ", on time " << result.on_time()
                            << ", refused " << result.refused << ", late " << result.late
                            << ", read again " << result.read_again << ", moved " << result.moved
                            << ", other zone " << result.other_zone << ", busiest "
                            << result.busiest());
    for (const auto& [cause, tokens] : result.causes)
    {
        BOOST_TEST_MESSAGE("    " << cause << ": " << tokens);
    }
}

double even(std::size_t, double)
{
    return 150;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(hot_part_fleets)

BOOST_AUTO_TEST_CASE(one_key_at_half_of_the_requests)
{
    const auto play = [](const char* name, const model_options& options)
    {
        fleet_model fleet(options);
        traffic calls{fleet};
        calls.play(8s, even,
                   [](auto& random)
                   {
                       const bool is_hot = random() % 2 == 0;
                       return summary_of(is_hot ? "hot" : one_of(900, random), random);
                   });
        print(name, fleet.result);
        return fleet.result;
    };
    const auto before = play("one home", with_one_home({}));
    const auto after = play("by heat", {});
    BOOST_TEST(after.on_time() >= before.on_time());
    BOOST_TEST(after.read_again <= before.read_again);
}

BOOST_AUTO_TEST_CASE(one_large_key_at_a_third_of_the_requests)
{
    const auto play = [](const char* name, const model_options& options)
    {
        fleet_model fleet(options);
        traffic calls{fleet};
        calls.play(
            8s, [](std::size_t, double) { return 60; },
            [](auto& random)
            {
                const bool is_hot = random() % 3 == 0;
                return draft_of(is_hot ? "hot" : one_of(480, random), random);
            });
        print(name, fleet.result);
        return fleet.result;
    };
    const auto before = play("one home", with_one_home({}));
    const auto after = play("by heat", {});
    BOOST_TEST(after.on_time() >= before.on_time());
    BOOST_TEST(after.read_again <= before.read_again);
}

BOOST_AUTO_TEST_CASE(large_sessions_in_waves_beyond_the_engines_capacity)
{
    const auto play = [](const char* name, const model_options& options)
    {
        fleet_model fleet(options);
        traffic calls{fleet};
        calls.play(
            10s,
            [](std::size_t zone, double at) {
                return 105 *
                       (1 + 0.55 * std::sin(at / 15 * 6.28 + static_cast<double>(zone) * 0.5));
            },
            [](auto& random) { return draft_of(one_of(480, random), random); });
        print(name, fleet.result);
        return fleet.result;
    };
    const auto before = play("one home", with_one_home({}));
    const auto after = play("by heat", {});
    BOOST_TEST(after.on_time() >= before.on_time());
    BOOST_TEST(after.read_again * 3 <= before.read_again * 2);
}

BOOST_AUTO_TEST_SUITE_END()
