#include "caraway_load/calls/connection.hpp"

#include <boost/test/unit_test.hpp>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QTcpServer>

#include <chrono>
#include <optional>

namespace caraway_load::calls
{

namespace
{

const QByteArray request("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
const QByteArray whole("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

enum class outcome
{
    whole,
    closed_as_it_was_used_again,
    failed,
};

/// A server that gives these answers in turn on each connection, and then closes it.
struct answering_server : QTcpServer
{
    explicit answering_server(std::vector<QByteArray> given) : answers(std::move(given))
    {
        BOOST_REQUIRE(listen(QHostAddress::LocalHost));
        connect(this, &QTcpServer::newConnection, this, [this] { serve(nextPendingConnection()); });
    }

    void serve(QTcpSocket* socket)
    {
        connect(socket, &QTcpSocket::readyRead, socket,
                [this, socket, next = std::size_t{0}]() mutable
                {
                    socket->readAll();
                    socket->write(answers[next]);
                    if (++next == answers.size())
                    {
                        socket->disconnectFromHost();
                    }
                });
    }

    std::vector<QByteArray> answers;
};

outcome outcome_of_call(connection& link)
{
    std::optional<outcome> result;
    link.send(request, {.part = [](const auto&, const auto&) {},
                        .whole = [&](const auto&) { result = outcome::whole; },
                        .broken =
                            [&](bool is_failure)
                        {
                            result =
                                is_failure ? outcome::failed : outcome::closed_as_it_was_used_again;
                        }});
    const QDeadlineTimer deadline(std::chrono::seconds(10));
    while (!result && !deadline.hasExpired())
    {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    BOOST_REQUIRE(result.has_value());
    return *result;
}

outcome outcome_of_second(const QByteArray& answer)
{
    answering_server server({whole, answer});
    connection link({.host = "127.0.0.1", .port = server.serverPort()});
    BOOST_TEST((outcome_of_call(link) == outcome::whole));
    return outcome_of_call(link);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(connections)

// Guards against a broken answer on a kept connection that is taken for a connection that the
// server closed just as it was used again: the request was sent again and no failure was counted.
BOOST_AUTO_TEST_CASE(a_broken_answer_on_a_kept_connection_is_a_failure)
{
    BOOST_TEST((outcome_of_second(whole) == outcome::whole));
    BOOST_TEST((outcome_of_second("") == outcome::closed_as_it_was_used_again));
    for (const char* const answer :
         {"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 20",
          "no HTTP\r\n\r\n"})
    {
        BOOST_TEST((outcome_of_second(answer) == outcome::failed), answer);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway_load::calls
