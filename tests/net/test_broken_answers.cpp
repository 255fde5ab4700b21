#include "broken_answer_fixture.hpp"

#include "libcaraway/net/http_socket.hpp"

#include <QTimer>

using namespace caraway::net;
using namespace caraway::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(broken_answers, broken_answer_fixture)

// Guards against a part of an answer that callers get as complete: an upstream answered a long
// upload at once, without a length, and reset the connection while it was being written.
BOOST_AUTO_TEST_CASE(an_early_answer_without_length_that_is_reset_amid_the_upload)
{
    const QByteArray upload(4 << 20, 'b');
    for (const auto pause : {0ms, 5ms, 20ms, 100ms})
    {
        for (int repeat = 0; repeat < 5; ++repeat)
        {
            QTcpServer early;
            BOOST_TEST_REQUIRE(early.listen(QHostAddress::LocalHost));
            QObject::connect(&early, &QTcpServer::newConnection, &early,
                             [&]
                             {
                                 auto* const socket = early.nextPendingConnection();
                                 socket->setReadBufferSize(1024);
                                 socket->write("HTTP/1.1 200 OK\r\n\r\nhalf");
                                 QTimer::singleShot(pause, socket,
                                                    [socket]
                                                    {
                                                        set_reset_on_close(
                                                            socket->socketDescriptor());
                                                        socket->abort();
                                                    });
                             });
            auto sent = request("POST", "/broken", upload);
            sent.port = early.serverPort();
            BOOST_TEST(!run(sent)->end->whole);
        }
    }
    check_still_works();
}

// Guards against a status that there is none of, passed on to callers.
BOOST_AUTO_TEST_CASE(an_answer_with_an_impossible_status)
{
    for (const char* const status : {"000", "099", "101", "600", "999", "1000", "20", "-20"})
    {
        check_not_whole(QByteArray("HTTP/1.1 ") + status + " X\r\n" + whole_rest);
    }
    check_still_works();
}

// Guards against a malformed line of a head that is passed on to callers, or that hides where the
// body ends.
BOOST_AUTO_TEST_CASE(an_answer_with_a_malformed_field_name)
{
    const std::vector<QByteArray> names{"X Odd",     "X-Odd ",    "X-Odd\t",
                                        " X-Odd",    "X\tOdd",    "X-\x01Odd",
                                        "\x01X-Odd", "X-Odd\x1f", QByteArray("X-\0Odd", 6),
                                        "X-\x7fOdd", "X-\rOdd",   "X-\x80Odd",
                                        ""};
    for (const auto& name : names)
    {
        check_not_whole("HTTP/1.1 200 OK\r\n" + name + ": odd\r\n" + whole_rest);
        check_not_whole("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + name + ": odd\r\n\r\nok");
    }
    check_not_whole("HTTP/1.1 200 OK\r\nno colon\r\n" + whole_rest);
    check_still_works();
}

// Guards against a body that ends elsewhere than its upstream meant.
BOOST_AUTO_TEST_CASE(an_answer_whose_end_cannot_be_told)
{
    const QByteArray chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
    for (const QByteArray fields :
         {"Content-Length : 2\r\n\r\nok", "Content-Length: 2\r\nContent-Length : 3\r\n\r\nok",
          "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", "Content-Length: 2, 3\r\n\r\nok",
          "Content-Length: +2\r\n\r\nok", "Content-Length: 2x\r\n\r\nok"})
    {
        check_not_whole("HTTP/1.1 200 OK\r\n" + fields);
    }
    for (const QByteArray coding :
         {"Transfer-Encoding : chunked", "Transfer-Encoding: xchunked",
          "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"})
    {
        check_not_whole("HTTP/1.1 200 OK\r\n" + coding + "\r\n" + chunks);
    }
    check_still_works();
}

BOOST_AUTO_TEST_SUITE_END()
