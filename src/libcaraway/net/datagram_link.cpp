#include "libcaraway/net/datagram_link.hpp"

#include <QHostAddress>
#include <QMetaObject>
#include <QNetworkDatagram>
#include <QVariant>

#include <utility>

namespace caraway::net
{

namespace
{

/// Room for a burst of all peers at once; the system's usual buffer holds a few hundred datagrams.
constexpr int receive_buffer_bytes = 1024 * 1024;

membership::endpoint endpoint_of(const QHostAddress& host, int port)
{
    return {.host = host.toString().toStdString(), .port = static_cast<std::uint16_t>(port)};
}

QHostAddress host_of(const membership::endpoint& address)
{
    return QHostAddress(QString::fromStdString(address.host));
}

}  // namespace

const char* name(drop_reason reason)
{
    switch (reason)
    {
    case drop_reason::oversize:
        return "oversize";
    case drop_reason::unauthenticated:
        return "unauthenticated";
    case drop_reason::malformed:
        return "malformed";
    case drop_reason::misaddressed:
        return "misaddressed";
    case drop_reason::cut:
        return "cut";
    case drop_reason::send_failed:
        return "send_failed";
    }
    return "send_failed";
}

datagram_link::datagram_link(options options, QObject* parent)
    : QObject(parent), options_(std::move(options)), socket_(this)
{
    connect(&socket_, &QUdpSocket::readyRead, this, &datagram_link::read_pending);
}

base::result<void> datagram_link::bind(const membership::endpoint& address)
{
    if (!socket_.bind(host_of(address), address.port, QAbstractSocket::DontShareAddress))
    {
        return base::make_error(base::errc::unavailable, "peers' address " + address.host + ":" +
                                                             std::to_string(address.port) + ": " +
                                                             socket_.errorString().toStdString());
    }
    socket_.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                            QVariant(receive_buffer_bytes));
    return base::success();
}

membership::endpoint datagram_link::local() const
{
    return endpoint_of(socket_.localAddress(), socket_.localPort());
}

void datagram_link::set_receive_hook(receive_hook hook)
{
    hook_ = std::move(hook);
}

void datagram_link::set_keys(wire::key_ring keys)
{
    options_.keys = std::move(keys);
}

void datagram_link::set_self(base::node_ref self)
{
    flush();
    options_.self = std::move(self);
}

void datagram_link::set_cut(std::set<membership::endpoint> peers)
{
    cut_ = std::move(peers);
}

void datagram_link::send(const membership::endpoint& address, const base::node_ref& to,
                         std::vector<wire::message> messages)
{
    auto& waiting = outbox_[{address, to}];
    waiting.insert(waiting.end(), std::make_move_iterator(messages.begin()),
                   std::make_move_iterator(messages.end()));
    if (!flush_scheduled_)
    {
        flush_scheduled_ = true;
        QMetaObject::invokeMethod(this, &datagram_link::flush, Qt::QueuedConnection);
    }
}

void datagram_link::flush()
{
    flush_scheduled_ = false;
    for (auto& [key, messages] : std::exchange(outbox_, {}))
    {
        const auto& [address, to] = key;
        if (cut_.contains(address))
        {
            ++counters_.drops[drop_reason::cut];
            continue;
        }
        counters_.messages_out += messages.size();
        const wire::envelope envelope{
            .from = options_.self, .to = to, .messages = std::move(messages)};
        for (const auto& payload : wire::pack(envelope, options_.target_bytes - wire::seal_bytes))
        {
            write(address, payload);
        }
    }
}

void datagram_link::write(const membership::endpoint& address, const QByteArray& payload)
{
    if (static_cast<std::size_t>(payload.size()) > wire::max_datagram_bytes)
    {
        ++counters_.drops[drop_reason::oversize];
        return;
    }
    const QByteArray sealed = wire::seal(options_.keys, payload);
    if (socket_.writeDatagram(sealed, host_of(address), address.port) != sealed.size())
    {
        ++counters_.drops[drop_reason::send_failed];
        return;
    }
    ++counters_.datagrams_out;
    counters_.bytes_out += static_cast<std::uint64_t>(sealed.size());
}

void datagram_link::read_pending()
{
    for (int read = 0; socket_.hasPendingDatagrams(); ++read)
    {
        if (read == options_.max_reads_a_turn)
        {
            QMetaObject::invokeMethod(this, &datagram_link::read_pending, Qt::QueuedConnection);
            return;
        }
        const QNetworkDatagram datagram = socket_.receiveDatagram();
        // An answer of the network that an earlier datagram found no receiver shows as an invalid
        // one.
        if (datagram.isValid())
        {
            handle(datagram.data(), endpoint_of(datagram.senderAddress(), datagram.senderPort()));
        }
    }
}

void datagram_link::handle(const QByteArray& datagram, const membership::endpoint& source)
{
    if (cut_.contains(source))
    {
        ++counters_.drops[drop_reason::cut];
        return;
    }
    ++counters_.datagrams_in;
    counters_.bytes_in += static_cast<std::uint64_t>(datagram.size());
    if (static_cast<std::size_t>(datagram.size()) > wire::max_datagram_bytes + wire::seal_bytes)
    {
        ++counters_.drops[drop_reason::oversize];
        return;
    }
    const auto payload = wire::open(options_.keys, datagram);
    if (!payload)
    {
        ++counters_.drops[drop_reason::unauthenticated];
        return;
    }
    const auto envelope = wire::decode(payload.value());
    if (!envelope)
    {
        ++counters_.drops[drop_reason::malformed];
        return;
    }
    if (!wire::is_addressed_to(envelope.value().to, options_.self))
    {
        ++counters_.drops[drop_reason::misaddressed];
        return;
    }
    counters_.messages_in += envelope.value().messages.size();
    if (hook_)
    {
        hook_(source, envelope.value());
    }
}

}  // namespace caraway::net
