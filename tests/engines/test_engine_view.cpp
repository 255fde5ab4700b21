#include "engines_model.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <random>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;
using namespace caraway::routing::engines;
using caraway::tests::engines_model;

namespace
{

const base::time_point start(1h);

/// A stream of 40 events at one of 20 engines, with some requests beside it.
attempt_summary ended_stream(int engine, double ms_per_event)
{
    return {.upstream = engines_model::id(engine),
            .service = base::service_id("models"),
            .is_engine = true,
            .complete = true,
            .running = 4,
            .uncached_tokens = 2000,
            .until_answer = 100ms,
            .streaming = std::chrono::duration_cast<base::duration>(
                std::chrono::duration<double, std::milli>(39 * ms_per_event)),
            .events = 40};
}

/// Records `seconds` of streams at 20 engines, of which each ends two a second.
void record_streams(engine_view& view, int seconds, base::time_point from,
                    const std::function<double(int)>& slowness)
{
    std::mt19937 random(5);
    std::lognormal_distribution<double> noise(0, 0.25);
    for (int half = 0; half < 2 * seconds; ++half)
    {
        const auto now = from + half * 500ms;
        for (int engine = 0; engine < 20; ++engine)
        {
            view.record_attempt(ended_stream(engine, 30 * slowness(engine) * noise(random)), now);
        }
        view.refresh(now);
    }
}

void use_two_speeds(engines_model& model, double slow)
{
    for (std::size_t upstream = 0; upstream < model.speeds.size(); upstream += 4)
    {
        model.speeds[upstream] = slow;
    }
}

void clear_arrivals(engines_model& model)
{
    std::fill(model.arrivals.begin(), model.arrivals.end(), 0);
    model.unplaced = 0;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_views)

BOOST_AUTO_TEST_CASE(an_unknown_upstream_has_the_costs_of_an_average_one)
{
    const engine_view view;
    const auto estimate = view.estimate(engines_model::id(1), start);

    BOOST_TEST(estimate.running_request_cost.count() == 1.5);
    BOOST_TEST(estimate.call_time.count() == 20);
    BOOST_TEST(estimate.prefill_ms_per_token == 0.022);
    BOOST_TEST(!estimate.stalled);
    BOOST_TEST(view.relative_throughput(engines_model::id(1)) == 1);
}

// With engines of equal speed, whatever their streams' times scatter, decisions are those of a
// router that knows nothing of them.
BOOST_AUTO_TEST_CASE(equal_engines_are_chosen_as_if_nothing_were_known)
{
    engine_view known;
    record_streams(known, 30, start, [](int) { return 1.0; });
    const engine_view unknown;
    const auto now = start + 30s;

    service models{.id = base::service_id("models"),
                   .engine = engine_capacity{.slots = 24, .kv_tokens = 480000}};
    upstream_directory directory;
    load_tracker loads;
    for (int engine = 0; engine < 20; ++engine)
    {
        directory.put({.id = engines_model::id(engine),
                       .service = models.id,
                       .zone = base::zone_id(engine % 2 == 0 ? "z1" : "z2"),
                       .slots = 24},
                      {.revision = 1, .received = now});
    }
    scheduling::scheduler_options health_options;
    const scheduling::upstream_health health{health_options};
    placer selector({.zone = base::zone_id("z1")});
    std::mt19937 random(9);
    for (int request = 0; request < 400; ++request)
    {
        const placement_request arrival{.requested_service = &models,
                                        .prompt_tokens =
                                            static_cast<std::uint32_t>(500 + random() % 4000),
                                        .output_tokens = 300,
                                        .max_wait = 2000ms};
        const auto chosen = selector.choose(arrival, directory, loads, health, known, now);
        const auto expected = selector.choose(arrival, directory, loads, health, unknown, now);
        BOOST_REQUIRE(chosen.has_value() == expected.has_value());
        if (!chosen)
        {
            break;
        }
        BOOST_TEST(chosen->target.id.str() == expected->target.id.str());
        loads.record_start(chosen->target.id, chosen->load);
        if (random() % 2 == 0)
        {
            loads.record_prefill_done(chosen->target.id, chosen->load.pending_prefill_tokens);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_slow_engine_costs_more_and_has_less_throughput)
{
    engine_view view;
    record_streams(view, 20, start, [](int engine) { return engine < 5 ? 2.0 : 1.0; });

    const auto slow = view.estimate(engines_model::id(1), start + 20s);
    const auto fast = view.estimate(engines_model::id(10), start + 20s);
    BOOST_TEST(slow.running_request_cost.count() > 1.5 * fast.running_request_cost.count());
    BOOST_TEST(view.relative_throughput(engines_model::id(1)) < 1);
    BOOST_TEST(view.relative_throughput(engines_model::id(10)) >= 1);
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_has_the_costs_of_an_average_one)
{
    engine_view view;
    record_streams(view, 20, start, [](int engine) { return engine < 5 ? 2.0 : 1.0; });
    view.forget(engines_model::id(1));

    BOOST_TEST(view.estimate(engines_model::id(1), start).running_request_cost.count() == 1.5);
    BOOST_TEST(view.relative_throughput(engines_model::id(1)) == 1);
}

BOOST_AUTO_TEST_CASE(a_slow_plain_upstream_is_known_by_its_calls)
{
    engine_view view;
    for (int call = 0; call < 400; ++call)
    {
        const auto now = start + call * 25ms;
        view.record_attempt({.upstream = engines_model::id(call % 4),
                             .service = base::service_id("desk"),
                             .complete = true,
                             .running = static_cast<std::uint32_t>(call % 7),
                             .until_answer = call % 4 == 0 ? 60ms : 30ms},
                            now);
        view.refresh(now);
    }

    const auto slow = view.estimate(engines_model::id(0), start + 10s).call_time.count();
    const auto fast = view.estimate(engines_model::id(1), start + 10s).call_time.count();
    BOOST_TEST(slow / fast == 2, boost::test_tools::tolerance(0.25));
    BOOST_TEST((slow + 3 * fast) / 4 == 20, boost::test_tools::tolerance(0.1));
}

// Guards against changes of the homes of shared parts, which have to be read again, with each
// sample.
BOOST_AUTO_TEST_CASE(the_throughput_of_equal_engines_never_changes)
{
    engine_view view;
    for (int round = 0; round < 10; ++round)
    {
        record_streams(view, 3, start + round * 3s, [](int) { return 1.0; });
        for (int engine = 0; engine < 20; ++engine)
        {
            BOOST_TEST(view.relative_throughput(engines_model::id(engine)) == 1);
        }
    }
}

// 90 engines, a quarter of them at 0.6 of the others' speed, asked for two thirds of what they do.
BOOST_AUTO_TEST_CASE(engines_get_about_the_work_that_their_speed_earns)
{
    engines_model model({.requests_per_second = 600});
    use_two_speeds(model, 0.6);
    model.run(15s);
    clear_arrivals(model);
    model.run(40s);

    BOOST_TEST_MESSAGE("largest excess " << model.largest_excess());
    BOOST_TEST(model.largest_excess() <= 1.4);
    BOOST_TEST(model.unplaced == 0);
}

// The same engines, asked for more than they do.
BOOST_AUTO_TEST_CASE(engines_that_are_nearly_full_get_about_the_work_that_their_speed_earns)
{
    engines_model model({.requests_per_second = 900});
    use_two_speeds(model, 0.6);
    model.run(15s);
    clear_arrivals(model);
    model.run(20s);

    BOOST_TEST_MESSAGE("largest excess " << model.largest_excess() << ", unplaced "
                                         << model.unplaced);
    BOOST_TEST(model.largest_excess() <= 1.4);
}

// Four plain upstreams, one of them at half of the others' speed.
BOOST_AUTO_TEST_CASE(plain_upstreams_get_about_the_work_that_their_speed_earns)
{
    engines_model model(
        {.upstreams = 4, .are_engines = false, .slots = 6, .requests_per_second = 400});
    use_two_speeds(model, 0.5);
    model.run(15s);
    clear_arrivals(model);
    model.run(20s);

    BOOST_TEST_MESSAGE("largest excess " << model.largest_excess() << ", unplaced "
                                         << model.unplaced);
    BOOST_TEST(model.largest_excess() <= 1.4);
    BOOST_TEST(model.unplaced < 80);
}

// Engines that all slow down, as after a start of all of them, and recover.
BOOST_AUTO_TEST_CASE(engines_that_are_all_slow_for_a_while_count_as_equal_again)
{
    engines_model model({.upstreams = 30, .requests_per_second = 200});
    model.run(10s);
    std::fill(model.speeds.begin(), model.speeds.end(), 0.4);
    model.run(10s);
    std::fill(model.speeds.begin(), model.speeds.end(), 1.0);
    model.run(20s);
    clear_arrivals(model);
    model.run(40s);

    BOOST_TEST_MESSAGE("largest excess " << model.largest_excess());
    BOOST_TEST(model.largest_excess() <= 1.4);
    for (int engine = 0; engine < 30; ++engine)
    {
        BOOST_TEST(model.view(0).relative_throughput(engines_model::id(engine)) == 1);
    }
}

// Guards against parts of prompts that each router sends elsewhere: homes follow the throughput.
BOOST_AUTO_TEST_CASE(routers_that_saw_different_requests_mostly_agree)
{
    engines_model model({.requests_per_second = 400});
    use_two_speeds(model, 0.5);
    model.run(25s);

    int agreed = 0;
    for (int engine = 0; engine < 90; ++engine)
    {
        const auto id = engines_model::id(engine);
        const double ratio =
            model.view(0).relative_throughput(id) / model.view(1).relative_throughput(id);
        agreed += ratio < 1.25 && ratio > 0.8 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(agreed << " of 90 engines agreed");
    BOOST_TEST(agreed >= 80);
}

BOOST_AUTO_TEST_SUITE_END()
