#pragma once

#include "libstandin/http_request.hpp"

#include <QPointer>
#include <QTcpSocket>

#include <deque>
#include <functional>
#include <memory>

namespace standin
{

class exchange;

/// How a connection goes on after an answer.
enum class ending
{
    keep_alive,
    close,  ///< After what was written has left.
    reset,  ///< At once, with a TCP reset.
};

/// One accepted connection. It hands its requests to the handler one at a time: Qt's server calls
/// for a pipelined second request while the first is still being answered, and the second answer
/// would then land inside the first.
class connection : public std::enable_shared_from_this<connection>
{
public:
    using handler = std::function<void(const std::shared_ptr<exchange>&)>;

    connection(QTcpSocket& socket, handler handle);

    void enqueue(http_request request);
    void write(const QByteArray& bytes);
    /// Ends the current exchange and goes on with the next.
    void finish(ending how);
    /// The peer went away.
    void disconnected();
    /// From now on nothing is read, written or closed: the connection has gone silent.
    void silence();

    bool open() const;
    /// Context for timers that must not outlive the connection.
    QTcpSocket* socket() const;

private:
    void dispatch_later();
    void dispatch();
    void reset_socket();

    QPointer<QTcpSocket> socket_;
    handler handle_;
    std::deque<http_request> pending_;
    std::shared_ptr<exchange> current_;
    bool open_ = true;
    bool silent_ = false;
};

}  // namespace standin
