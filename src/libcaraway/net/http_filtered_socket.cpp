#include "libcaraway/net/http_filtered_socket.hpp"

#include "libcaraway/net/http_connection.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace caraway::net
{

http_filtered_socket::http_filtered_socket(http_connection& connection)
    : QTcpSocket(&connection), connection_(connection)
{
    setOpenMode(QIODevice::ReadWrite);
    setSocketState(QAbstractSocket::ConnectedState);
}

http_filtered_socket::~http_filtered_socket()
{
    setSocketState(QAbstractSocket::UnconnectedState);
}

http_connection& http_filtered_socket::connection() const
{
    return connection_;
}

void http_filtered_socket::push(std::string bytes)
{
    pending_.erase(0, read_);
    read_ = 0;
    pending_ = pending_.empty() ? std::move(bytes) : pending_ + bytes;
    Q_EMIT readyRead();
}

qint64 http_filtered_socket::bytesAvailable() const
{
    return QTcpSocket::bytesAvailable() + static_cast<qint64>(pending_.size() - read_);
}

bool http_filtered_socket::canReadLine() const
{
    return pending_.find('\n', read_) != std::string::npos || QTcpSocket::canReadLine();
}

void http_filtered_socket::disconnectFromHost()
{
    connection_.parser_refused();
}

void http_filtered_socket::close()
{
    connection_.parser_refused();
}

qint64 http_filtered_socket::readData(char* data, qint64 size)
{
    const auto taken = std::min(static_cast<std::size_t>(size), pending_.size() - read_);
    std::memcpy(data, pending_.data() + read_, taken);
    read_ += taken;
    return static_cast<qint64>(taken);
}

qint64 http_filtered_socket::writeData(const char* /*data*/, qint64 size)
{
    connection_.parser_refused();
    return size;
}

}  // namespace caraway::net
