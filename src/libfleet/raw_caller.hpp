#pragma once

#include <QByteArray>
#include <QTcpSocket>

#include <chrono>
#include <string>

namespace fleet
{

struct address;
struct address;
}  // namespace fleet

namespace fleet
{

/// A caller that writes bytes and reads bytes: for what no HTTP library would send.
class raw_caller
{
public:
    explicit raw_caller(const address& where);

    void send(const QByteArray& bytes);
    /// Reads until the connection is closed by the other side or the patience is over.
    QByteArray read_to_end(std::chrono::milliseconds patience = std::chrono::seconds(20));
    /// Reads until this text has come; all that was read so far.
    QByteArray read_until(const QByteArray& text,
                          std::chrono::milliseconds patience = std::chrono::seconds(20));
    void close();
    /// Closes with a reset, as a caller does whose process is killed with data unread.
    void reset();

private:
    QTcpSocket socket_;
    QByteArray read_;
};

/// A request's bytes with its Content-Length.
QByteArray request(const QByteArray& method, const QByteArray& path, const std::string& key,
                   const QByteArray& body = {}, const QByteArray& more_headers = {});

/// The body of a completion request that generates so many tokens.
QByteArray completion(int tokens, bool stream, const QByteArray& prompt = "hello");

}  // namespace fleet
