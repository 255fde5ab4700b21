#pragma once

#include "libstandin/connection.hpp"
#include "libstandin/listener.hpp"

#include <QAbstractHttpServer>
#include <QHostAddress>

#include <map>
#include <memory>

namespace standin
{

/// Qt's HTTP server, with the answers in the program's own hands: streamed, late, cut or none.
class http_server : public QAbstractHttpServer
{
public:
    explicit http_server(connection::handler handle);

    /// Port 0 takes any free one. False when the address is taken.
    bool start(const QHostAddress& address, quint16 port);
    QHostAddress address() const;
    quint16 port() const;

    /// See listener::set_silent_accept.
    void set_silent_accept(int count);
    /// All connections with requests so far, but for the one of `asking`, go silent for good
    /// without being closed; new ones work.
    void silence_open_connections(const exchange& asking);

protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

private:
    connection& connection_of(QTcpSocket& socket);

    connection::handler handle_;
    listener* listener_;
    std::map<QTcpSocket*, std::shared_ptr<connection>> connections_;
};

}  // namespace standin
