#define BOOST_TEST_MODULE metrics

#include "libcaraway/metrics/registry.hpp"
#include "libcaraway/metrics/registry_dump.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <thread>
#include <vector>

using namespace caraway;

BOOST_AUTO_TEST_CASE(counters_gauges_and_labels_are_written_in_prometheus_format)
{
    metrics::registry test_metrics;
    test_metrics.counter({"caraway_requests_total", "Requests ended."}, {{"outcome", "done"}})
        .add(3);
    test_metrics.counter({"caraway_requests_total", "Requests ended."}, {{"outcome", "a\"b\\c\nd"}})
        .add();
    test_metrics.gauge({"caraway_waiting", "Requests that wait,\nnow."}).set(2.5);
    BOOST_TEST(test_metrics.prometheus_text() == R"(# HELP caraway_requests_total Requests ended.
# TYPE caraway_requests_total counter
caraway_requests_total{outcome="a\"b\\c\nd"} 1
caraway_requests_total{outcome="done"} 3
# HELP caraway_waiting Requests that wait,\nnow.
# TYPE caraway_waiting gauge
caraway_waiting 2.5
)");
}

BOOST_AUTO_TEST_CASE(histogram_buckets_are_cumulative_and_end_in_infinity)
{
    metrics::registry test_metrics;
    auto& wait = test_metrics.histogram(
        {"caraway_wait_seconds", "Time in the queue."}, {{"workspace", "w"}},
        {.lowest = 0.01, .decades = 2, .bins_per_decade = 4, .bins_per_bucket = 4});
    for (const double value : {-1.0, 0.0, 0.05, 0.5, 0.6, 7.0})
    {
        wait.observe(value);
    }
    wait.observe(std::numeric_limits<double>::quiet_NaN());
    BOOST_TEST(test_metrics.prometheus_text() == R"(# HELP caraway_wait_seconds Time in the queue.
# TYPE caraway_wait_seconds histogram
caraway_wait_seconds_bucket{workspace="w",le="0.1"} 3
caraway_wait_seconds_bucket{workspace="w",le="1"} 5
caraway_wait_seconds_bucket{workspace="w",le="+Inf"} 6
caraway_wait_seconds_sum{workspace="w"} 7.15
caraway_wait_seconds_count{workspace="w"} 6
)");
}

BOOST_AUTO_TEST_CASE(quantiles_are_accurate_to_one_bin)
{
    metrics::histogram values;
    BOOST_TEST(values.quantile(0.5) == 0);
    for (int ms = 1; ms <= 10000; ++ms)
    {
        values.observe(std::chrono::milliseconds(ms));
    }
    BOOST_TEST(values.count() == 10000U);
    BOOST_TEST(values.sum() == 50005.0, boost::test_tools::tolerance(1e-9));
    for (const double fraction : {0.01, 0.5, 0.95, 0.99})
    {
        BOOST_TEST(values.quantile(fraction) == fraction * 10,
                   boost::test_tools::tolerance(std::pow(10.0, 1.0 / 20) - 1));
    }
    values.observe(1e6);
    BOOST_TEST(values.quantile(1) == 1000.0, boost::test_tools::tolerance(1e-9));
}

// Guards against unbounded memory growth when a label takes its values from the content of
// requests.
BOOST_AUTO_TEST_CASE(series_of_one_metric_are_bounded)
{
    metrics::registry test_metrics;
    for (std::size_t i = 0; i < metrics::max_series * 2; ++i)
    {
        test_metrics.counter({"c", "C."}, {{"id", std::to_string(i)}}).add();
    }
    const QJsonObject dump = caraway::metrics::dump(test_metrics);
    BOOST_TEST(dump.size() == static_cast<qsizetype>(metrics::max_series + 1));
    BOOST_TEST(dump[R"(c{id="other"})"].toInteger() == static_cast<qint64>(metrics::max_series));
}

BOOST_AUTO_TEST_CASE(concurrent_observations_are_all_counted)
{
    constexpr int threads = 4;
    constexpr int observations_per_thread = 20000;
    metrics::registry test_metrics;
    {
        std::vector<std::jthread> workers;
        workers.reserve(threads);
        for (int i = 0; i < threads; ++i)
        {
            workers.emplace_back(
                [&test_metrics]
                {
                    auto& values = test_metrics.histogram({"h", "H."});
                    for (int n = 0; n < observations_per_thread; ++n)
                    {
                        test_metrics.counter({"c", "C."}).add();
                        values.observe(0.5);
                    }
                });
        }
    }
    BOOST_TEST(test_metrics.counter({"c", "C."}).value() ==
               static_cast<std::uint64_t>(threads * observations_per_thread));
    const QJsonObject summary = caraway::metrics::dump(test_metrics)["h"].toObject();
    BOOST_TEST(summary["count"].toInteger() == threads * observations_per_thread);
    BOOST_TEST(summary["sum"].toDouble() == threads * observations_per_thread * 0.5);
}
