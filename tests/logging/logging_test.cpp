#define BOOST_TEST_MODULE logging

#include "libcaraway/logging/logger.hpp"

#include "libcaraway/base/units.hpp"

#include <boost/test/unit_test.hpp>
#include <QDebug>
#include <QJsonDocument>
#include <QJsonObject>

#include <limits>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace caraway;

namespace
{

/// Captures the log output in a string; the manual clock is at 1970-01-01T01:00:00Z.
struct log_fixture
{
    void configure(logging::format style, logging::level threshold = logging::level::info)
    {
        logging::setup({.threshold = threshold, .style = style, .out = &output, .clock = &clock});
    }
    ~log_fixture()
    {
        logging::setup({});
    }

    std::string take_output()
    {
        std::string text = output.str();
        output.str({});
        return text;
    }
    QJsonObject take_json()
    {
        const std::string text = take_output();
        QJsonParseError error;
        const auto parsed = QJsonDocument::fromJson(QByteArray::fromStdString(text), &error);
        BOOST_TEST(error.error == QJsonParseError::NoError, text);
        BOOST_TEST(text.find('\n') == text.size() - 1);
        return parsed.object();
    }

    std::ostringstream output;
    base::manual_clock clock;
    const logging::logger log{"config"};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(logging_suite, log_fixture)

// Guards against log injection: a caller sends a value with a line break and a forged log line, and
// the value is logged without being escaped.
BOOST_AUTO_TEST_CASE(values_cannot_inject_lines_or_fields)
{
    const std::string forged = "x\n1970-01-01T01:00:00.000Z info config Forged. a=\"1\"\r\x1b[2J";
    const std::string separators = "a\xe2\x80\xa8"
                                   "b\xc2\x85"
                                   "c";
    configure(logging::format::text);
    log.info("Odd\nsentence.", {{"path", forged}, {"also", separators}, {"bytes", "\xff\xfe"}});
    BOOST_TEST(take_output() == "1970-01-01T01:00:00.000Z info config Odd\\nsentence. "
                                "path=\"x\\n1970-01-01T01:00:00.000Z info config Forged. "
                                "a=\\\"1\\\"\\u000d\\u001b[2J\" also=\"a\\u2028b\\u0085c\" "
                                "bytes=\"\xef\xbf\xbd\xef\xbf\xbd\"\n");
    configure(logging::format::json);
    log.info("Odd\nsentence.", {{"path", forged}});
    const QJsonObject line = take_json();
    BOOST_TEST(line["path"].toString().toStdString() == forged);
    BOOST_TEST(line["message"].toString().toStdString() == "Odd\nsentence.");
}

BOOST_AUTO_TEST_CASE(long_lines_are_truncated_and_marked)
{
    const std::string quotes(100000, '"');
    for (const auto style : {logging::format::text, logging::format::json})
    {
        configure(style);
        std::vector<logging::field> fields(50, logging::field("key", quotes));
        log.write(logging::level::info, quotes, fields);
        const std::string text = take_output();
        BOOST_TEST(text.size() <= logging::max_line_bytes);
        BOOST_TEST(text.find("truncated") != std::string::npos);
    }
    configure(logging::format::json);
    log.info("Long.", {{"key", std::string(5000, '\x01')}});
    BOOST_TEST(take_json()["message"].toString().toStdString() == "Long.");
}

BOOST_AUTO_TEST_CASE(secrets_are_never_written)
{
    configure(logging::format::text);
    log.info("Key read.", {{"key", logging::secret("abc")}});
    BOOST_TEST(take_output().ends_with("Key read. key=***\n"));
    std::ostringstream out;
    out << logging::secret("abc");
    BOOST_TEST(out.str() == "***");
}

BOOST_AUTO_TEST_CASE(fields_keep_their_types)
{
    configure(logging::format::json);
    log.warning("Typed.", {{"text", "7"},
                           {"version", base::config_version{7}},
                           {"smallest", std::numeric_limits<std::int64_t>::min()},
                           {"half", 0.5},
                           {"endless", std::numeric_limits<double>::infinity()},
                           {"flag", true},
                           logging::request_field(base::request_id("r-1"))});
    const QJsonObject line = take_json();
    BOOST_TEST(line["level"].toString().toStdString() == "warning");
    BOOST_TEST(line["part"].toString().toStdString() == "config");
    BOOST_TEST(line["time"].toString().toStdString() == "1970-01-01T01:00:00.000Z");
    BOOST_TEST(line["text"].isString());
    BOOST_TEST(line["version"].toInteger() == 7);
    BOOST_TEST(line["smallest"].toInteger() == std::numeric_limits<qint64>::min());
    BOOST_TEST(line["half"].toDouble() == 0.5);
    BOOST_TEST(line["endless"].isNull());
    BOOST_TEST(line["flag"].toBool());
    BOOST_TEST(line["request_id"].toString().toStdString() == "r-1");
}

BOOST_AUTO_TEST_CASE(lines_below_the_threshold_are_dropped_and_qt_has_a_prefix)
{
    configure(logging::format::text, logging::level::warning);
    log.info("Not written.");
    BOOST_TEST(take_output().empty());
    qWarning("from Qt");
    BOOST_TEST(take_output().starts_with("1970-01-01T01:00:00.000Z warning qt from Qt "));
    BOOST_TEST((logging::parse_level("error") == logging::level::error));
    BOOST_TEST(!logging::parse_level("loud").has_value());
}

BOOST_AUTO_TEST_CASE(lines_of_concurrent_threads_do_not_interleave)
{
    constexpr int threads = 4;
    constexpr int lines_per_thread = 500;
    configure(logging::format::text);
    {
        std::vector<std::jthread> writers;
        writers.reserve(threads);
        for (int i = 0; i < threads; ++i)
        {
            writers.emplace_back(
                []
                {
                    const logging::logger thread_log("part");
                    for (int n = 0; n < lines_per_thread; ++n)
                    {
                        thread_log.info("A sentence.", {{"n", 1}});
                    }
                });
        }
    }
    std::istringstream in(take_output());
    std::string text;
    int lines = 0;
    while (std::getline(in, text))
    {
        ++lines;
        BOOST_TEST(text == "1970-01-01T01:00:00.000Z info part A sentence. n=1");
    }
    BOOST_TEST(lines == threads * lines_per_thread);
}

BOOST_AUTO_TEST_SUITE_END()
