#include "libstandin/connection.hpp"

#include "libstandin/exchange.hpp"

#include <sys/socket.h>

namespace standin
{

connection::connection(QTcpSocket& socket, handler handle)
    : socket_(&socket), handle_(std::move(handle))
{
    socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

void connection::enqueue(http_request request)
{
    if (silent_)
    {
        return;
    }
    pending_.push_back(std::move(request));
    dispatch_later();
}

void connection::write(const QByteArray& bytes)
{
    if (open() && !silent_)
    {
        socket_->write(bytes);
    }
}

void connection::finish(ending how)
{
    current_.reset();
    if (!open() || silent_)
    {
        return;
    }
    if (how == ending::keep_alive)
    {
        dispatch_later();
        return;
    }
    pending_.clear();
    if (how == ending::close)
    {
        socket_->disconnectFromHost();
        return;
    }
    reset_socket();
}

void connection::disconnected()
{
    open_ = false;
    pending_.clear();
    if (const auto abandoned = std::exchange(current_, nullptr))
    {
        abandoned->abandon();
    }
}

void connection::silence()
{
    silent_ = true;
    pending_.clear();
}

bool connection::open() const
{
    return open_ && socket_ != nullptr;
}

QTcpSocket* connection::socket() const
{
    return socket_;
}

// Not straight from Qt's call: closing the socket inside it would delete the request that Qt still
// uses after the call.
void connection::dispatch_later()
{
    QMetaObject::invokeMethod(
        socket_, [self = shared_from_this()] { self->dispatch(); }, Qt::QueuedConnection);
}

void connection::dispatch()
{
    if (!open() || silent_ || current_ || pending_.empty())
    {
        return;
    }
    current_ = std::make_shared<exchange>(shared_from_this(), std::move(pending_.front()));
    pending_.pop_front();
    handle_(std::shared_ptr(current_));
}

void connection::reset_socket()
{
    const ::linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof at_once);
    socket_->abort();
}

}  // namespace standin
