#include "libstandin/http_server.hpp"

#include "libstandin/exchange.hpp"

#include <QHttpServerRequest>

namespace standin
{

http_server::http_server(connection::handler handle)
    : handle_(std::move(handle)), listener_(new listener)
{
    listener_->setParent(this);
}

bool http_server::start(const QHostAddress& address, quint16 port)
{
    if (!listener_->listen(address, port))
    {
        return false;
    }
    bind(listener_);
    return true;
}

QHostAddress http_server::address() const
{
    return listener_->serverAddress();
}

quint16 http_server::port() const
{
    return listener_->serverPort();
}

void http_server::set_silent_accept(int count)
{
    listener_->set_silent_accept(count);
}

void http_server::silence_open_connections(const exchange& asking)
{
    for (const auto& [socket, link] : connections_)
    {
        if (!asking.is_on(*link))
        {
            link->silence();
        }
    }
}

bool http_server::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket)
{
    connection_of(*socket).enqueue(http_request::from(request));
    return true;
}

void http_server::missingHandler(const QHttpServerRequest&, QTcpSocket*) {}

connection& http_server::connection_of(QTcpSocket& socket)
{
    auto& link = connections_[&socket];
    if (!link)
    {
        link = std::make_shared<connection>(socket, handle_);
        connect(&socket, &QTcpSocket::disconnected, this,
                [this, &socket]
                {
                    if (const auto gone = connections_.extract(&socket))
                    {
                        gone.mapped()->disconnected();
                    }
                });
    }
    return *link;
}

}  // namespace standin
