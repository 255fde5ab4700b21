#include "caraway_load/calls/answer_check.hpp"
#include "caraway_load/calls/response_reader.hpp"

#include <boost/test/unit_test.hpp>

#include <QCryptographicHash>

namespace caraway_load::calls
{

namespace
{

QByteArray token(const QByteArray& prompt, int index)
{
    const auto digest = QCryptographicHash::hash(prompt, QCryptographicHash::Sha256).toHex();
    return 't' + QByteArray::number(index) + '-' + digest.left(8) + ' ';
}

QByteArray event(const QByteArray& prompt, int index)
{
    return R"(data: {"choices":[{"delta":{"content":")" + token(prompt, index) + "\"}}]}\n\n";
}

const QByteArray done("data: [DONE]\n\n");

answer_fault fault_of(const QByteArray& stream)
{
    auto check = answer_check::of_model("mine", 2, true);
    check.take(stream);
    return check.end();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(a_whole_stream_is_right_however_it_is_cut_into_parts)
{
    const QByteArray stream = event("mine", 0) + event("mine", 1) + done;
    for (qsizetype cut = 0; cut <= stream.size(); ++cut)
    {
        auto check = answer_check::of_model("mine", 2, true);
        const auto tokens = check.take(stream.left(cut)) + check.take(stream.mid(cut));
        BOOST_TEST(tokens == 2U);
        BOOST_TEST((check.end() == answer_fault::none));
    }
}

BOOST_AUTO_TEST_CASE(streams_that_are_wrong_are_told_apart)
{
    BOOST_TEST((fault_of(event("mine", 0) + done) == answer_fault::cut));
    BOOST_TEST((fault_of(event("mine", 0) + event("mine", 1)) == answer_fault::cut));
    BOOST_TEST((fault_of(event("mine", 0) + event("other", 1) + done) == answer_fault::mixed_up));
    BOOST_TEST((fault_of(event("mine", 0) + event("mine", 0) + done) == answer_fault::doubled));
    BOOST_TEST((fault_of(event("mine", 1) + event("mine", 2) + done) == answer_fault::cut));
    BOOST_TEST((fault_of(event("mine", 0) + event("mine", 1) + event("mine", 2) + done) ==
                answer_fault::doubled));
}

BOOST_AUTO_TEST_CASE(whole_bodies_are_held_against_their_text)
{
    const auto fault = [](const QByteArray& text)
    {
        auto check = answer_check::of_model("mine", 2, false);
        check.take(R"({"choices":[{"message":{"content":")" + text + R"("}}]})");
        return check.end();
    };
    BOOST_TEST((fault(token("mine", 0) + token("mine", 1)) == answer_fault::none));
    BOOST_TEST((fault(token("mine", 0)) == answer_fault::cut));
    BOOST_TEST((fault(token("other", 0) + token("other", 1)) == answer_fault::mixed_up));
}

BOOST_AUTO_TEST_CASE(an_answer_ends_by_its_length_or_its_chunks_and_by_nothing_else)
{
    response_reader reader;
    BOOST_TEST(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: a\r\n\r\nwho") ==
               QByteArray("who"));
    BOOST_TEST(!reader.ended());
    BOOST_TEST(reader.feed("le") == QByteArray("le"));
    BOOST_TEST(reader.ended());
    BOOST_TEST(reader.header("x-request-id") == QByteArray("a"));
    reader.restart();
    const QByteArray chunked =
        "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    QByteArray body;
    for (const char byte : chunked)
    {
        BOOST_TEST(!reader.ended());
        body += reader.feed(QByteArray(1, byte));
    }
    BOOST_TEST(reader.ended());
    BOOST_TEST(reader.status() == 503);
    BOOST_TEST(body == QByteArray("abcde"));
    reader.restart();
    reader.feed("HTTP/1.1 200 OK\r\n\r\nuntil the end");
    BOOST_TEST(reader.malformed());
}

// Guards against a broken answer that counts as whole, and hides the fault that let it through.
BOOST_AUTO_TEST_CASE(broken_answers_are_not_whole)
{
    const QByteArray rest = "Content-Length: 2\r\n\r\nok";
    const auto check_malformed = [](const QByteArray& answer)
    {
        response_reader reader;
        reader.feed(answer);
        BOOST_TEST(reader.malformed(), answer.toStdString());
        BOOST_TEST(!reader.ended(), answer.toStdString());
    };
    for (const char* const status :
         {"000", "099", "99", "101", "600", "999", "1000", "2000", "20", "-20", "+200", "2x0", ""})
    {
        check_malformed(QByteArray("HTTP/1.1 ") + status + " X\r\n" + rest);
    }
    for (const char* const version : {"HTTP/1.10", "HTTP/1.1x", "HTTP/1.0", "HTTP/2.0", "XTTP/1.1"})
    {
        check_malformed(QByteArray(version) + " 200 OK\r\n" + rest);
    }
    const std::vector<QByteArray> names{
        "X Odd",     "X-Odd ",    "X-Odd\t",   " X-Odd",
        "X-\x01Odd", "\x01X-Odd", "X-Odd\x1f", QByteArray("X-\0Odd", 6),
        "X-\x7fOdd", "X-\rOdd",   "X-\nOdd",   "X-\x80Odd",
        ""};
    for (const QByteArray& name : names)
    {
        check_malformed("HTTP/1.1 200 OK\r\n" + name + ": odd\r\n" + rest);
    }
    check_malformed("HTTP/1.1 200 OK\r\nno colon\r\n" + rest);
    for (const QByteArray& value : {QByteArray("a\x01"), QByteArray("a\0b", 3), QByteArray("a\rb"),
                                    QByteArray("a\nb"), QByteArray("a\x7f")})
    {
        check_malformed("HTTP/1.1 200 OK\r\nX-Odd: " + value + "\r\n" + rest);
    }
    for (const char* const length :
         {"x", "2x", "+2", "-2", "2, 2", "", "0x2", "99999999999999999999"})
    {
        check_malformed(QByteArray("HTTP/1.1 200 OK\r\nContent-Length: ") + length + "\r\n\r\nok");
    }
    check_malformed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok");
    const QByteArray chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
    for (const char* const fields :
         {"Content-Length: 2\r\nTransfer-Encoding: chunked", "Transfer-Encoding: xchunked",
          "Transfer-Encoding: gzip, chunked", "Content-Length: 2\r\nTransfer-Encoding: gzip",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip"})
    {
        check_malformed(QByteArray("HTTP/1.1 200 OK\r\n") + fields + "\r\n" + chunks);
    }
    const QByteArray chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* const body : {"-2\r\n", "+2\r\nok\r\n", "0x2\r\nok\r\n", "x\r\n", "\r\n",
                                   "2 \r\nok\r\n", "2\r\nokay\r\n", "ffffffffffffffff\r\n",
                                   "0\r\nX Odd: 1\r\n\r\n", "0\r\nX-\x01: 1\r\n\r\n"})
    {
        check_malformed(chunked + body);
    }
}

BOOST_AUTO_TEST_CASE(answers_without_a_body_are_whole)
{
    for (const char* const answer :
         {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"})
    {
        response_reader reader;
        reader.feed(answer);
        BOOST_TEST(reader.ended(), answer);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway_load::calls
