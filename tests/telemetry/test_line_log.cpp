#include "libcaraway/telemetry/line_log.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using telemetry::line_log;

namespace
{

struct log_fixture
{
    base::manual_clock clock;
    std::string written;
    bool reader_accepts = true;

    line_log make(telemetry::log_options options = {})
    {
        return {clock,
                [this](std::string_view bytes) -> std::size_t
                {
                    if (!reader_accepts)
                    {
                        return 0;
                    }
                    written += bytes;
                    return bytes.size();
                },
                options};
    }

    std::size_t count(std::string_view event) const
    {
        std::size_t found = 0;
        const auto wanted = "\"event\":\"" + std::string(event) + "\"";
        for (auto at = written.find(wanted); at != std::string::npos;
             at = written.find(wanted, at + 1))
        {
            ++found;
        }
        return found;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(line_logs, log_fixture)

// Guards against losing the lines about upstreams. An upstream was removed during a burst of
// refused requests, which logged one line each and used up the rate limit shared by all lines. Of
// eight routers notified of the same two upstreams, the one with the burst logged neither and had
// dropped 280 lines.
BOOST_AUTO_TEST_CASE(lines_about_requests_do_not_displace_the_others)
{
    auto log = make({.request_lines_per_second = 10, .request_burst = 20});
    for (int i = 0; i < 1000; ++i)
    {
        log.request_line("request", {{"number", i}});
    }
    log.line("upstream", {{"draining", true}});
    log.flush();

    BOOST_TEST(count("request") == 20U);
    BOOST_TEST(count("upstream") == 1U);
    BOOST_TEST(log.dropped() == 980U);
    BOOST_TEST(written.find("\"total\":980,\"not_of_requests\":0") != std::string::npos);
}

// Guards against the same loss while the output is not read for some time.
BOOST_AUTO_TEST_CASE(lines_about_requests_leave_buffer_space_while_the_output_is_not_read)
{
    auto log = make({.request_burst = 1e6, .max_buffered_bytes = 4096});
    reader_accepts = false;
    for (int i = 0; i < 1000; ++i)
    {
        log.request_line("request", {{"number", i}});
    }
    log.flush();
    log.line("upstream", {{"draining", true}});
    reader_accepts = true;
    log.flush();

    BOOST_TEST(count("upstream") == 1U);
}

BOOST_AUTO_TEST_CASE(both_kinds_are_rate_limited_and_refilled_over_time)
{
    auto log = make(
        {.request_lines_per_second = 10, .request_burst = 1, .lines_per_second = 5, .burst = 1});
    for (int i = 0; i < 10; ++i)
    {
        log.request_line("request", {{"number", i}});
        log.line("upstream", {{"number", i}});
    }
    clock.advance(1s);
    BOOST_TEST(log.accepts_request_line());
    log.line("upstream");
    log.flush();

    BOOST_TEST(count("request") == 1U);
    BOOST_TEST(count("upstream") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
