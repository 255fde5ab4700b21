#include "support.hpp"

#include <boost/test/unit_test.hpp>

namespace caraway::tests
{

namespace
{

using base::errc;
using net::platform_row;
using net::row_revision;
using net::write_condition;

const QByteArray whole_rest = "Content-Length: 2\r\n\r\n{}";

/// A client of its own for each answer: several failures in a row make it ask less.
struct fixture
{
    explicit fixture(const QByteArray& answer)
    {
        server.mode = faulty_server::behaviour::raw_answer;
        server.raw = answer;
    }

    faulty_server server;
    base::machine_clock clock;
    net::platform_client client{quick_options(server.endpoint()), clock,
                                []
                                {
                                    return 0.5;
                                }};

    base::result<row_revision> put()
    {
        const platform_row row{.pk = "p", .sk = "s", .body = {{"x", 1}}};
        return await<row_revision>([&](auto done)
                                   { client.put(row, write_condition::absent(), done); });
    }
    base::result<QByteArray> get_object()
    {
        return await<QByteArray>([&](auto done) { client.get_object("config/x", done); });
    }
};

void check_no_answer(const QByteArray& answer)
{
    fixture writing(answer);
    const auto written = writing.put();
    BOOST_TEST(written.has_error(), "a row is written by " << answer.toStdString());
    BOOST_TEST((written.has_error() && written.error().code == errc::unknown_effect),
               answer.toStdString());
    fixture reading(answer);
    BOOST_TEST(reading.get_object().has_error(), "an object is read from " << answer.toStdString());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(broken_answers)

BOOST_AUTO_TEST_CASE(a_whole_answer_is_one)
{
    BOOST_TEST(fixture("HTTP/1.1 200 OK\r\n" + whole_rest).put().has_value());
    BOOST_TEST(fixture("HTTP/1.1 200 OK\r\n" + whole_rest).get_object().has_value());
}

// Guards against rows and objects of the platform that are taken from an answer that is none.
BOOST_AUTO_TEST_CASE(an_answer_with_an_impossible_status)
{
    for (const char* const status : {"000", "099", "101", "600", "999"})
    {
        check_no_answer(QByteArray("HTTP/1.1 ") + status + " X\r\n" + whole_rest);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_malformed_field_name)
{
    for (const char* const name : {"X Odd", "X-Odd ", "X-Odd\t", "X-\x01Odd", "Content-Length "})
    {
        check_no_answer(QByteArray("HTTP/1.1 200 OK\r\n") + name + ": 2\r\n" + whole_rest);
    }
}

// Guards against a part of an answer that is taken for all of it.
BOOST_AUTO_TEST_CASE(an_answer_whose_end_cannot_be_told)
{
    for (const char* const fields :
         {"", "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, gzip\r\n",
          "Content-Length: 2\r\nContent-Length: 3\r\n"})
    {
        check_no_answer(QByteArray("HTTP/1.1 200 OK\r\n") + fields + "\r\n{}");
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::tests
