#include "libcaraway/http/listener.hpp"

#include "libcaraway/http/raw_head.hpp"
#include "libcaraway/http/read_scratch.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace caraway::http
{

namespace
{

using boost::asio::ip::tcp;

/// Idle connections closed, oldest first, when a new connection would exceed the limit.
constexpr std::size_t max_idle_closed = 32;
/// Connections accepted per event-loop iteration, bounded so that open connections are still
/// served.
constexpr std::size_t max_accepts_per_iteration = 64;
/// Connections that may wait to be accepted. Each is reset when the listening socket closes, which
/// takes processor time and leaves its caller without an answer.
constexpr int max_pending_connections = 256;
/// Expired entries tolerated in the list of connections; each costs one pointer.
constexpr std::size_t max_expired_entries = 64;

bool is_temporary(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ECONNABORTED;
}

}  // namespace

listener::listener(boost::asio::io_context& loop, timer_queue& timers,
                   server_connection::limits_source limits, server_connection::handler on_request,
                   std::size_t max_connections)
    : timers_(timers), limits_(std::move(limits)), on_request_(std::move(on_request)),
      max_connections_(max_connections), acceptor_(loop)
{
}

listener::~listener()
{
    for (const auto& entry : connections_)
    {
        if (const auto connection = entry.lock())
        {
            connection->close();
        }
    }
}

base::result<void> listener::open(const routing::endpoint& address)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip, error);
    if (error)
    {
        return base::make_error(base::errc::invalid_argument,
                                "\"" + address.ip + "\" is not an IP address to listen at.");
    }
    address_ = tcp::endpoint(ip, address.port);
    BOOST_OUTCOME_TRY(listen());
    // Replaces port 0 by the assigned port, so that `resume` binds the same port again.
    address_ = acceptor_.local_endpoint(error);
    return base::success();
}

base::result<void> listener::listen()
{
    boost::system::error_code error;
    acceptor_.open(address_.protocol(), error);
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (receive_buffer_ > 0)
    {
        // Accepted connections inherit it.
        acceptor_.set_option(
            boost::asio::socket_base::receive_buffer_size(static_cast<int>(receive_buffer_)),
            error);
    }
    acceptor_.bind(address_, error);
    if (!error)
    {
        acceptor_.listen(max_pending_connections, error);
        acceptor_.non_blocking(true, error);
    }
    if (error)
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        return base::make_error(base::errc::unavailable,
                                "Can't listen at " + address_.address().to_string() + ":" +
                                    std::to_string(address_.port()) + ": " + error.message() + ".");
    }
    accept();
    return base::success();
}

std::uint16_t listener::port() const
{
    return address_.port();
}

void listener::close_idle(std::chrono::milliseconds first_request_time)
{
    erase_expired();
    for (const auto& entry : connections_)
    {
        const auto connection = entry.lock();
        if (connection && !connection->is_new(first_request_time))
        {
            connection->close_if_idle();
        }
    }
}

void listener::refuse_incomplete()
{
    erase_expired();
    for (const auto& entry : connections_)
    {
        if (const auto connection = entry.lock())
        {
            connection->refuse_incomplete();
        }
    }
}

void listener::close()
{
    refusing_ = false;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void listener::refuse()
{
    ++refusals_;
    refusing_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void listener::resume()
{
    if (!refusing_)
    {
        return;
    }
    // Another process may have bound the port meanwhile; the next call tries again.
    refusing_ = !listen();
    if (!refusing_ && door_.on_opened)
    {
        door_.on_opened();
    }
}

std::size_t listener::active_requests()
{
    std::size_t count = 0;
    for (const auto& entry : connections_)
    {
        const auto connection = entry.lock();
        count += connection && connection->is_request_active() ? 1 : 0;
    }
    return count;
}

void listener::accept()
{
    acceptor_.async_wait(tcp::acceptor::wait_read,
                         owner_.guard(
                             [this](const boost::system::error_code& error)
                             {
                                 // The acceptor was closed; if it was reopened since, `listen`
                                 // started another wait.
                                 if (error || !acceptor_.is_open())
                                 {
                                     return;
                                 }
                                 accept_pending();
                                 if (!refusing_)
                                 {
                                     accept();
                                 }
                             }));
}

/// Accepts the connections pending in the backlog of the listening socket, several per iteration of
/// the event loop: under load an iteration takes some milliseconds, and at 500 connections per
/// second callers waited in the backlog for more than a second and gave up, although the process
/// had capacity for them.
void listener::accept_pending()
{
    for (std::size_t count = 0; count < max_accepts_per_iteration && !refusing_; ++count)
    {
        const int handle =
            ::accept4(acceptor_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (handle < 0)
        {
            if (!is_temporary(errno))
            {
                refuse();
            }
            return;
        }
        decide(handle);
        if (!refusing_ && !accepts_more())
        {
            refuse();
            door_.on_closed();
        }
    }
}

bool listener::accepts_more()
{
    return !door_.is_narrow || !door_.is_narrow() || door_.accepts_more();
}

void listener::decide(int handle)
{
    if (!door_.is_narrow || !door_.is_narrow())
    {
        add_connection(handle);
        return;
    }
    auto& scratch = read_scratch();
    const auto size = ::recv(handle, scratch.data(), max_read_bytes, 0);
    if (size == 0 || (size < 0 && !is_temporary(errno)))
    {
        ::close(handle);
        door_.on_left();
        return;
    }
    const std::string_view first_bytes(scratch.data(),
                                       static_cast<std::size_t>(std::max<ssize_t>(0, size)));
    const auto refusal = door_.refusal(first_bytes);
    const auto head = refusal ? raw_head::find(first_bytes) : std::nullopt;
    if (head && head->is_whole_request())
    {
        // Nothing is left unread, so closing doesn't reset the connection.
        ::send(handle, refusal->data(), refusal->size(), MSG_NOSIGNAL);
        ::close(handle);
    }
    else
    {
        add_connection(handle, first_bytes, refusal);
    }
    if (refusal)
    {
        door_.on_refused();
    }
}

void listener::set_door(door entry)
{
    door_ = std::move(entry);
}

void listener::set_admission(std::function<bool()> admits_more)
{
    admits_more_ = std::move(admits_more);
}

void listener::add_connection(int handle, std::string_view first_bytes,
                              const std::optional<std::string>& refusal)
{
    tcp::socket socket(acceptor_.get_executor());
    boost::system::error_code error;
    socket.assign(address_.protocol(), handle, error);
    if (error)
    {
        ::close(handle);
        return;
    }
    if (*open_count_ >= max_connections_)
    {
        close_oldest_idle();
    }
    if (connections_.size() > 2 * *open_count_ + max_expired_entries)
    {
        erase_expired();
    }
    if (*open_count_ >= max_connections_)
    {
        refuse();
        return;
    }
    const auto connection = std::make_shared<server_connection>(std::move(socket), timers_, limits_,
                                                                on_request_, open_count_, &door_);
    connections_.push_back(connection);
    if (refusal)
    {
        connection->start();
        connection->refuse(*refusal);
        return;
    }
    connection->start(first_bytes);
    if (admits_more_ && !admits_more_())
    {
        refuse();
    }
}

std::size_t listener::close_oldest_idle()
{
    std::size_t closed = 0;
    for (const auto& entry : connections_)
    {
        const auto connection = entry.lock();
        closed += connection && connection->close_if_idle() ? 1 : 0;
        if (closed >= max_idle_closed)
        {
            break;
        }
    }
    return closed;
}

void listener::relieve(memory_budget& memory)
{
    erase_expired();
    const bool is_nearly_full = memory.is_nearly_full();
    if (is_nearly_full)
    {
        memory.counts.closed_idle += close_oldest_idle();
    }
    const auto connections = connections_;
    for (const auto& entry : connections)
    {
        if (const auto connection = entry.lock())
        {
            connection->close_if_slow(is_nearly_full);
        }
    }
}

void listener::erase_expired()
{
    std::erase_if(connections_, [](const auto& entry) { return entry.expired(); });
}

}  // namespace caraway::http
