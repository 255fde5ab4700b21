#include "libfleet/raw_caller.hpp"

#include "libfleet/fleet.hpp"

#include <QElapsedTimer>
#include <QHostAddress>

namespace fleet
{

namespace
{

constexpr int connect_patience_ms = 10000;
constexpr int step_ms = 50;

}  // namespace

raw_caller::raw_caller(const address& where)
{
    socket_.connectToHost(QHostAddress(QString::fromStdString(where.host)), where.port);
    socket_.waitForConnected(connect_patience_ms);
}

void raw_caller::send(const QByteArray& bytes)
{
    socket_.write(bytes);
    socket_.flush();
    while (socket_.bytesToWrite() > 0 && socket_.waitForBytesWritten(step_ms))
    {
    }
}

QByteArray raw_caller::read_to_end(std::chrono::milliseconds patience)
{
    QElapsedTimer waited;
    waited.start();
    while (socket_.state() == QAbstractSocket::ConnectedState &&
           waited.elapsed() < patience.count())
    {
        socket_.waitForReadyRead(step_ms);
        read_ += socket_.readAll();
    }
    return read_ += socket_.readAll();
}

QByteArray raw_caller::read_until(const QByteArray& text, std::chrono::milliseconds patience)
{
    QElapsedTimer waited;
    waited.start();
    while (!read_.contains(text) && socket_.state() == QAbstractSocket::ConnectedState &&
           waited.elapsed() < patience.count())
    {
        socket_.waitForReadyRead(step_ms);
        read_ += socket_.readAll();
    }
    return read_;
}

void raw_caller::close()
{
    socket_.disconnectFromHost();
}

void raw_caller::reset()
{
    socket_.abort();
}

QByteArray request(const QByteArray& method, const QByteArray& path, const std::string& key,
                   const QByteArray& body, const QByteArray& more_headers)
{
    return method + " " + path + " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " +
           QByteArray::fromStdString(key) + "\r\n" + more_headers +
           "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

QByteArray completion(int tokens, bool stream, const QByteArray& prompt)
{
    return "{\"model\":\"planner\",\"stream\":" + QByteArray(stream ? "true" : "false") +
           ",\"x_tokens\":" + QByteArray::number(tokens) +
           ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
}

}  // namespace fleet
