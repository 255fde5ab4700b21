#include "libcaraway/net/http_socket.hpp"

#include <QHostAddress>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace caraway::net
{

namespace
{

constexpr int probe_after_seconds = 20;
constexpr int probe_interval_seconds = 5;
constexpr int probes = 4;

template <class Value>
void set_option(qintptr descriptor, int level, int name, const Value& value)
{
    // None of these can fail on a TCP socket, and the connection works without.
    ::setsockopt(static_cast<int>(descriptor), level, name, &value, sizeof value);
}

}  // namespace

void set_liveness_options(qintptr descriptor, std::chrono::milliseconds unacknowledged)
{
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<unsigned int>(unacknowledged.count()));
}

void set_reset_on_close(qintptr descriptor)
{
    set_option(descriptor, SOL_SOCKET, SO_LINGER, linger{.l_onoff = 1, .l_linger = 0});
}

bool has_unread_bytes(qintptr descriptor)
{
    int unread = 0;
    ::ioctl(static_cast<int>(descriptor), FIONREAD, &unread);
    return unread > 0;
}

std::string address_text(const QHostAddress& address)
{
    bool is_ipv4 = false;
    const quint32 ipv4 = address.toIPv4Address(&is_ipv4);
    return (is_ipv4 ? QHostAddress(ipv4) : address).toString().toStdString();
}

}  // namespace caraway::net
