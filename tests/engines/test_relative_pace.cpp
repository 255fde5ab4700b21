#include "libcaraway/routing/engines/relative_pace.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <limits>
#include <random>
#include <string>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing::engines;

namespace
{

const base::time_point start(1h);
const base::service_id service("models");

base::upstream_id engine(int number)
{
    return base::upstream_id("e" + std::to_string(number));
}

/// A service whose streams take longer per event the more requests run beside them.
struct played_service
{
    int engines = 20;
    std::mt19937 random{7};

    /// Each engine completes one stream a tenth of a second, for `seconds`.
    void play(relative_pace& pace, int seconds, base::time_point from,
              const std::function<double(int)>& slowness)
    {
        std::uniform_int_distribution<int> running(0, 20);
        std::lognormal_distribution<double> noise(0, 0.2);
        for (int tenth = 0; tenth < seconds * 10; ++tenth)
        {
            const auto now = from + tenth * 100ms;
            for (int number = 0; number < engines; ++number)
            {
                const int beside = running(random);
                pace.record(
                    {.upstream = engine(number),
                     .service = service,
                     .running = 1.0 * beside,
                     .milliseconds = (20 + 2.0 * beside) * slowness(number) * noise(random)},
                    now);
            }
            if (tenth % 10 == 9)
            {
                pace.refresh(now);
            }
        }
    }
};

double average(int /*number*/)
{
    return 1;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relative_paces, played_service)

BOOST_AUTO_TEST_CASE(engines_of_equal_speed_all_count_as_average)
{
    relative_pace pace;
    play(pace, 30, start, average);

    BOOST_TEST(pace.deviating().empty());
    BOOST_TEST(pace.size() == 20);
}

BOOST_AUTO_TEST_CASE(an_engine_of_another_speed_is_known_whatever_runs_there)
{
    relative_pace pace;
    play(pace, 30, start, [](int number) { return number < 5 ? 1.8 : 1.0; });

    // The mean of the service is 1.2.
    BOOST_TEST(pace.slowness(engine(0)) == 1.5, boost::test_tools::tolerance(0.15));
    BOOST_TEST(pace.slowness(engine(9)) == 1 / 1.2, boost::test_tools::tolerance(0.15));
}

// Guards against an engine that gets less work for good after it was slow for a while.
BOOST_AUTO_TEST_CASE(an_engine_that_recovers_counts_as_average_again)
{
    relative_pace pace;
    play(pace, 20, start, [](int number) { return number == 3 ? 2.5 : 1.0; });
    BOOST_TEST(pace.slowness(engine(3)) > 1.8);

    play(pace, 40, start + 20s, average);
    BOOST_TEST(pace.slowness(engine(3)) == 1);
}

// Guards against an engine without work, and thus without samples, that stays slow for good.
BOOST_AUTO_TEST_CASE(a_slow_engine_without_samples_becomes_average)
{
    relative_pace pace;
    play(pace, 20, start, [](int number) { return number == 3 ? 2.5 : 1.0; });

    pace.refresh(start + 120s);
    BOOST_TEST(pace.slowness(engine(3)) == 1);
    BOOST_TEST(pace.size() == 0);
}

BOOST_AUTO_TEST_CASE(a_service_that_slows_down_as_a_whole_and_recovers_stays_average)
{
    relative_pace pace;
    play(pace, 20, start, average);
    play(pace, 20, start + 20s, [](int) { return 2.5; });
    BOOST_TEST(pace.deviating().empty());
    play(pace, 20, start + 40s, average);
    BOOST_TEST(pace.deviating().empty());
}

// Guards against an engine that gets no work for seconds because one stream was preempted there.
BOOST_AUTO_TEST_CASE(one_stream_that_took_long_changes_little)
{
    relative_pace pace;
    play(pace, 20, start, average);
    pace.record({.upstream = engine(3), .service = service, .running = 5, .milliseconds = 3e6},
                start + 20s);
    pace.refresh(start + 20s);

    BOOST_TEST(pace.slowness(engine(3)) == 1);
}

BOOST_AUTO_TEST_CASE(routers_learn_from_each_other_and_tell_only_what_deviates)
{
    relative_pace here;
    relative_pace there;
    std::size_t told = 0;
    for (int second = 0; second < 30; ++second)
    {
        const auto now = start + second * 1s;
        play(there, 1, now, [](int number) { return number < 2 ? 2.0 : 1.0; });
        const auto records = there.take_untold(now + 1s);
        told += records.size();
        here.merge(records, now + 1s);
        here.refresh(now + 1s);
    }

    BOOST_TEST(here.slowness(engine(0)) > 1.4);
    BOOST_TEST(here.slowness(engine(9)) < 1.1);
    // 20 engines in each of 30 messages would be 600 records.
    BOOST_TEST(told < 120);
}

BOOST_AUTO_TEST_CASE(a_told_sample_is_not_told_again)
{
    relative_pace pace;
    play(pace, 3, start, [](int number) { return number < 2 ? 2.5 : 1.0; });

    BOOST_TEST(!pace.take_untold(start + 3s).empty());
    BOOST_TEST(pace.take_untold(start + 3s).empty());
}

BOOST_AUTO_TEST_CASE(invalid_records_and_samples_are_ignored)
{
    constexpr double infinite = std::numeric_limits<double>::infinity();
    relative_pace pace;
    play(pace, 20, start, average);
    const auto now = start + 20s;
    for (const double bad : {0.0, -3.0, infinite, -infinite, std::nan("")})
    {
        pace.merge({{engine(1), {.milliseconds = bad, .units = 1}},
                    {engine(2), {.milliseconds = 1, .units = bad}}},
                   now);
        pace.record({.upstream = engine(3), .service = service, .milliseconds = bad}, now);
        pace.record({.upstream = engine(4), .service = service, .milliseconds = 10, .weight = bad},
                    now);
    }
    for (const double bad : {-3.0, infinite, std::nan("")})
    {
        pace.record({.upstream = engine(5), .service = service, .running = bad, .milliseconds = 10},
                    now);
    }
    pace.refresh(now);

    BOOST_TEST(pace.deviating().empty());
}

BOOST_AUTO_TEST_CASE(an_extreme_record_of_a_peer_counts_as_a_limited_one)
{
    relative_pace pace;
    play(pace, 20, start, average);
    pace.merge({{engine(1), {.milliseconds = 1e300, .units = 1e-3}}}, start + 20s);
    pace.merge({{engine(2), {.milliseconds = 1e300, .units = 1e290}}}, start + 20s);
    pace.refresh(start + 20s);

    BOOST_TEST(pace.slowness(engine(1)) == 1);
    BOOST_TEST(pace.slowness(engine(2)) < 3);
    pace.refresh(start + 120s);
    BOOST_TEST(pace.slowness(engine(2)) == 1);
}

BOOST_AUTO_TEST_CASE(thousands_of_records_are_bounded_and_expire)
{
    relative_pace pace;
    for (int peer = 0; peer < 20; ++peer)
    {
        pace_records records;
        for (int number = 0; number < 5000; ++number)
        {
            records[engine(peer * 5000 + number)] = {.milliseconds = 2, .units = 1};
        }
        pace.merge(records, start);
    }
    BOOST_TEST(pace.size() <= 4096);

    pace.refresh(start + 120s);
    BOOST_TEST(pace.size() == 0);
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_is_average)
{
    relative_pace pace;
    play(pace, 20, start, [](int number) { return number == 3 ? 2.5 : 1.0; });
    pace.forget(engine(3));

    BOOST_TEST(pace.slowness(engine(3)) == 1);
    pace.refresh(start + 20s);
    BOOST_TEST(pace.slowness(engine(3)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
