#define BOOST_TEST_MODULE platform
#include "support.hpp"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QTcpSocket>

#include <boost/test/unit_test.hpp>

#include <memory>

namespace caraway::tests
{

namespace
{

/// Qt's event loop needs an application object that outlives every test.
struct application
{
    int count = 0;
    QCoreApplication instance{count, nullptr};
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

bool wait_until(const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds bound(20);
    constexpr int slice_ms = 20;
    const QDeadlineTimer deadline(bound);
    while (!condition())
    {
        if (deadline.hasExpired())
        {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents,
                                        slice_ms);
    }
    return true;
}

faulty_server::faulty_server()
{
    listen(QHostAddress::LocalHost);
    connect(this, &QTcpServer::newConnection, this, [this] { accept_connection(); });
}

QUrl faulty_server::endpoint() const
{
    return QUrl(QStringLiteral("http://127.0.0.1:%1").arg(serverPort()));
}

void faulty_server::silence_open_connections()
{
    silenced_ = open_;
}

void faulty_server::accept_connection()
{
    QTcpSocket* const socket = nextPendingConnection();
    open_.insert(socket);
    auto buffer = std::make_shared<QByteArray>();
    connect(socket, &QTcpSocket::readyRead, this,
            [this, socket, buffer] { read(*socket, *buffer); });
}

void faulty_server::read(QTcpSocket& socket, QByteArray& buffer)
{
    buffer += socket.readAll();
    const qsizetype head = buffer.indexOf("\r\n\r\n");
    if (head < 0)
    {
        return;
    }
    const QByteArray headers = buffer.left(head).toLower();
    const qsizetype length_at = headers.indexOf("content-length:");
    const qsizetype end_of_line = headers.indexOf('\r', length_at);
    const qsizetype value_at = length_at + qsizetype(sizeof("content-length:")) - 1;
    const qsizetype length =
        length_at < 0 ? 0 : headers.mid(value_at, end_of_line - value_at).trimmed().toLongLong();
    const QByteArray content = buffer.mid(head + 4);
    if (content.size() < length)
    {
        return;
    }
    requests.push_back(content);
    buffer.clear();
    respond(socket);
}

void faulty_server::respond(QTcpSocket& socket)
{
    if (mode == behaviour::silent || silenced_.contains(&socket))
    {
        return;
    }
    if (mode == behaviour::close_after_reading)
    {
        socket.close();
        return;
    }
    if (mode == behaviour::raw_answer)
    {
        socket.write(raw);
        socket.disconnectFromHost();
        return;
    }
    const qsizetype promised = body.size() + (mode == behaviour::cut_answer ? 1 : 0);
    socket.write("HTTP/1.1 " + QByteArray::number(status) +
                 " Status\r\nContent-Length: " + QByteArray::number(promised) + "\r\n\r\n" + body);
    if (mode == behaviour::cut_answer)
    {
        socket.disconnectFromHost();
    }
}

net::platform_client_options quick_options(const QUrl& endpoint)
{
    return {.endpoint = endpoint,
            .table_timeout = std::chrono::milliseconds(200),
            .object_timeout = std::chrono::milliseconds(200),
            .channel = {.first_pause = std::chrono::milliseconds(5),
                        .longest_pause = std::chrono::milliseconds(20),
                        .breaker = {.failures_to_open = 5,
                                    .first_pause = std::chrono::milliseconds(10),
                                    .longest_pause = std::chrono::milliseconds(40)}}};
}

}  // namespace caraway::tests
