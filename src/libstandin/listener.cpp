#include "libstandin/listener.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <limits>
#include <string_view>

namespace standin
{

namespace
{

constexpr int backlog = 1024;

bool asks_stand_in(std::string_view bytes)
{
    return bytes.starts_with("GET /_") || bytes.starts_with("POST /_");
}

}  // namespace

listener::listener()
{
    setListenBacklogSize(backlog);
    setMaxPendingConnections(std::numeric_limits<int>::max());
}

listener::~listener()
{
    for (const auto& [descriptor, notifier] : unread_)
    {
        ::close(descriptor);
    }
}

void listener::set_silent_accept(int count)
{
    silent_accept_ = count;
}

void listener::incomingConnection(qintptr descriptor)
{
    if (silent_accept_ == 0)
    {
        QTcpServer::incomingConnection(descriptor);
        return;
    }
    const int number = static_cast<int>(descriptor);
    auto notifier = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
    connect(notifier.get(), &QSocketNotifier::activated, this,
            [this, number] { first_bytes(number); });
    unread_[number] = std::move(notifier);
}

void listener::first_bytes(int descriptor)
{
    std::array<char, 16> bytes{};
    const auto count = ::recv(descriptor, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    const auto notifier = unread_.find(descriptor);
    notifier->second->setEnabled(false);
    if (count > 0 && !asks_stand_in({bytes.data(), static_cast<std::size_t>(count)}))
    {
        silent_accept_ -= silent_accept_ > 0 ? 1 : 0;
        return;
    }
    notifier->second.release()->deleteLater();
    unread_.erase(notifier);
    if (count <= 0)
    {
        ::close(descriptor);
        return;
    }
    QTcpServer::incomingConnection(descriptor);
    // Qt tells of a connection only when it has accepted it by itself.
    QMetaObject::invokeMethod(this, "newConnection");
}

}  // namespace standin
