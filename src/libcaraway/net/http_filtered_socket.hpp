#pragma once

#include <QTcpSocket>

#include <string>

namespace caraway::net
{

class http_connection;

/// The socket that Qt's HTTP server sees. It has no descriptor: it holds the bytes that passed the
/// checks, one request at a time, so that Qt's parser never meets a byte that was refused, nor a
/// second request while the first is being answered.
///
/// Answers do not go through it; they are written to the caller's own socket. What the parser
/// itself wishes to do with the connection (close it) is told to the connection instead.
class http_filtered_socket : public QTcpSocket
{
    Q_OBJECT

public:
    explicit http_filtered_socket(http_connection& connection);
    ~http_filtered_socket() override;

    http_connection& connection() const;
    /// Hands bytes to Qt's parser, which reads them before this returns.
    void push(std::string bytes);

    qint64 bytesAvailable() const override;
    bool canReadLine() const override;
    void disconnectFromHost() override;
    void close() override;

protected:
    qint64 readData(char* data, qint64 size) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    http_connection& connection_;
    std::string pending_;
    std::size_t read_ = 0;
};

}  // namespace caraway::net
