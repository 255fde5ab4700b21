#include "libcaraway/net/http_worker.hpp"

#include "libcaraway/net/http_connection.hpp"
#include "libcaraway/net/http_filtered_socket.hpp"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <unistd.h>
#include <unordered_set>
#include <utility>

namespace caraway::net
{

namespace
{

/// Connections above the limit that are kept just long enough to be told so.
constexpr std::size_t refused_at_a_time = 256;
constexpr std::chrono::milliseconds shortest_check{10};
constexpr std::chrono::milliseconds longest_check{1000};

/// Often enough to be a quarter late at most.
std::chrono::milliseconds check_interval(const http_limits& limits)
{
    const auto shortest = std::min({limits.header_timeout, limits.body_timeout, limits.idle_timeout,
                                    limits.write_stall_timeout});
    return std::clamp(shortest / 4, shortest_check, longest_check);
}

/// Where Qt's HTTP server gets its connections from. It never listens while in use. QTcpServer's
/// own queue isn't used: it complains of a server that doesn't listen.
class connection_source : public QTcpServer
{
public:
    /// False if nobody took it.
    bool add(http_filtered_socket& socket)
    {
        next_ = &socket;
        QMetaObject::invokeMethod(this, "pendingConnectionAvailable", Qt::DirectConnection);
        return std::exchange(next_, nullptr) == nullptr;
    }

    bool hasPendingConnections() const override
    {
        return next_ != nullptr;
    }

    QTcpSocket* nextPendingConnection() override
    {
        return std::exchange(next_, nullptr);
    }

private:
    QTcpSocket* next_ = nullptr;
};

}  // namespace

/// Qt's HTTP server in its part of a parser, and the connections it serves.
class http_worker::server : public QAbstractHttpServer
{
public:
    server(http_limits limits, http_handler handler, QObject* parent);
    ~server() override;

    void adopt(qintptr descriptor);
    void set_closing(bool closing);
    std::size_t connections() const
    {
        return connections_.size();
    }
    std::size_t exchanges() const
    {
        return state_.exchanges;
    }

protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

private:
    void check_deadlines();
    void forget(http_connection* connection);

    http_worker_state state_;
    connection_source* source_;
    QTimer* check_timer_;
    std::unordered_set<http_connection*> connections_;
};

http_worker::server::server(http_limits limits, http_handler handler, QObject* parent)
    : QAbstractHttpServer(parent), state_{.limits = limits, .handler = std::move(handler)},
      source_(new connection_source), check_timer_(new QTimer(this))
{
    // `bind` warns of a server that doesn't listen, so this one does for that moment.
    source_->listen(QHostAddress::LocalHost);
    bind(source_);
    source_->close();
    check_timer_->setInterval(check_interval(limits));
    connect(check_timer_, &QTimer::timeout, this, [this] { check_deadlines(); });
}

http_worker::server::~server()
{
    for (http_connection* connection : std::exchange(connections_, {}))
    {
        connection->disconnect(this);
        delete connection;
    }
}

void http_worker::server::adopt(qintptr descriptor)
{
    auto* const socket = new QTcpSocket;
    if (connections_.size() >= state_.limits.connections + refused_at_a_time ||
        !socket->setSocketDescriptor(descriptor))
    {
        delete socket;
        ::close(static_cast<int>(descriptor));
        return;
    }
    const bool is_above_limit = connections_.size() >= state_.limits.connections;
    auto* const connection = new http_connection(state_, socket, this);
    connections_.insert(connection);
    connect(connection, &http_connection::closed, this, [this, connection] { forget(connection); });
    if (!check_timer_->isActive())
    {
        check_timer_->start();
    }
    if (is_above_limit)
    {
        connection->refuse(503, "too_many_connections", "Too many connections are open here.");
        return;
    }
    if (!source_->add(connection->filtered_socket()))
    {
        connection->refuse(500, "internal", "The connection can't be served.");
    }
}

void http_worker::server::forget(http_connection* connection)
{
    connections_.erase(connection);
    if (connections_.empty())
    {
        check_timer_->stop();
    }
}

void http_worker::server::set_closing(bool closing)
{
    state_.closing = closing;
    if (!closing)
    {
        return;
    }
    for (http_connection* connection : std::vector(connections_.begin(), connections_.end()))
    {
        connection->close_if_idle();
    }
}

void http_worker::server::check_deadlines()
{
    const auto now = std::chrono::steady_clock::now();
    for (http_connection* connection : std::vector(connections_.begin(), connections_.end()))
    {
        connection->check_deadlines(now);
    }
}

bool http_worker::server::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket)
{
    std::vector<http_header> headers;
    for (const auto& [name, value] : request.headers())
    {
        headers.push_back({name.toStdString(), value.toStdString()});
    }
    static_cast<http_filtered_socket*>(socket)->connection().take_parsed(std::move(headers),
                                                                         request.body());
    return true;
}

void http_worker::server::missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* socket)
{
    static_cast<http_filtered_socket*>(socket)->connection().parser_refused();
}

http_worker::http_worker(http_limits limits, http_handler handler, QObject* parent)
    : QObject(parent), server_(std::make_unique<server>(limits, std::move(handler), this))
{
}

http_worker::~http_worker() = default;

void http_worker::adopt(qintptr socket_descriptor)
{
    server_->adopt(socket_descriptor);
}

void http_worker::set_closing(bool closing)
{
    server_->set_closing(closing);
}

std::size_t http_worker::connections() const
{
    return server_->connections();
}

std::size_t http_worker::exchanges() const
{
    return server_->exchanges();
}

}  // namespace caraway::net
