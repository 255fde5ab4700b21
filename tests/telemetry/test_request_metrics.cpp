#include "libcaraway/router/request_metrics.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(metrics_of_requests)

// More outcomes than are kept.
BOOST_AUTO_TEST_CASE(each_outcome_is_counted_in_its_series)
{
    metrics::registry all;
    router::request_metrics requests(all);
    constexpr int outcomes = 200;
    for (int turn = 0; turn < 2; ++turn)
    {
        for (int number = 0; number < outcomes; ++number)
        {
            requests.record_end("own_answer", 503, "reason" + std::to_string(number), 5ms);
        }
        requests.record_end("answered", 200, "", 5ms);
    }
    const auto text = all.prometheus_text();
    const auto has_line = [&](const std::string& line)
    {
        return text.find(line + "\n") != std::string::npos;
    };
    for (int number = 0; number < outcomes; ++number)
    {
        BOOST_TEST(
            has_line(R"(caraway_requests_total{outcome="own_answer",status="503",reason="reason)" +
                     std::to_string(number) + R"("} 2)"));
    }
    BOOST_TEST(has_line(R"(caraway_requests_total{outcome="answered",status="200",reason=""} 2)"));
    BOOST_TEST(has_line(R"(caraway_request_seconds_count{outcome="own_answer"} 400)"));
}

BOOST_AUTO_TEST_CASE(long_reasons_are_cut)
{
    metrics::registry all;
    router::request_metrics requests(all);
    const std::string long_reason(100, 'r');
    requests.record_end("own_answer", 400, long_reason, 5ms);
    requests.record_end("own_answer", 400, long_reason + "s", 5ms);

    const auto expected = R"(status="400",reason=")" + std::string(24, 'r') + R"("} 2)";
    BOOST_TEST(all.prometheus_text().find(expected) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
