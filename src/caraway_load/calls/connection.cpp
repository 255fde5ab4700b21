#include "caraway_load/calls/connection.hpp"

#include <QNetworkProxy>

#include <utility>

namespace caraway_load::calls
{

connection::connection(const target& where) : where_(where)
{
    socket_.setProxy(QNetworkProxy::NoProxy);
    connect(&socket_, &QTcpSocket::readyRead, this, &connection::on_readable);
    connect(&socket_, &QTcpSocket::disconnected, this, &connection::on_gone);
    connect(&socket_, &QTcpSocket::errorOccurred, this, &connection::on_gone);
    connect(&socket_, &QTcpSocket::connected, this,
            [this] { socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1); });
    socket_.connectToHost(QString::fromStdString(where.host), where.port);
}

void connection::send(const QByteArray& request, answer_hooks hooks)
{
    hooks_ = std::move(hooks);
    busy_ = true;
    ++requests_;
    reader_.restart();
    if (closed_)
    {
        // Refused as it was opened, before there was anybody to tell.
        QMetaObject::invokeMethod(this, &connection::end_broken, Qt::QueuedConnection);
        return;
    }
    socket_.write(request);
}

bool connection::reusable() const
{
    return !busy_ && !closed_ && !reader_.closes() && !reader_.surplus() && !reader_.malformed();
}

bool connection::idle() const
{
    return !busy_;
}

const target& connection::where() const
{
    return where_;
}

void connection::abandon()
{
    busy_ = false;
    closed_ = true;
    hooks_ = {};
    socket_.abort();
}

void connection::on_readable()
{
    const QByteArray body = reader_.feed(socket_.readAll());
    if (!busy_)
    {
        closed_ = true;
        return;
    }
    if (reader_.malformed())
    {
        end_broken();
        return;
    }
    if (reader_.head_read())
    {
        hooks_.part(reader_, body);
    }
    if (reader_.ended() && busy_)
    {
        busy_ = false;
        const auto hooks = std::exchange(hooks_, {});
        hooks.whole(reader_);
    }
}

void connection::on_gone()
{
    if (socket_.bytesAvailable() > 0)
    {
        on_readable();
    }
    closed_ = true;
    end_broken();
}

void connection::end_broken()
{
    if (!std::exchange(busy_, false))
    {
        return;
    }
    closed_ = true;
    const auto hooks = std::exchange(hooks_, {});
    hooks.broken(requests_ == 1 || reader_.has_begun());
}

}  // namespace caraway_load::calls
