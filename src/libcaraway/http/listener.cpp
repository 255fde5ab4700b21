#include "libcaraway/http/listener.hpp"

#include <boost/asio/ip/address.hpp>

namespace caraway::http
{

namespace
{

using boost::asio::ip::tcp;

/// Idle connections closed, the oldest first, when a new one finds no room.
constexpr std::size_t closed_at_a_time = 32;
/// Connections taken in one turn of the event loop, so that those that are open get theirs.
constexpr std::size_t accepted_at_a_time = 64;
/// Closed connections that may still be listed; they are a pointer each.
constexpr std::size_t slack_of_dead = 64;

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
    for (const auto& each : connections_)
    {
        if (const auto connection = each.lock())
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
                                "\"" + address.ip + "\" is no address to listen at.");
    }
    address_ = tcp::endpoint(ip, address.port);
    BOOST_OUTCOME_TRY(listen());
    // Port 0 became the one that it got, which it has to get again after a pause.
    address_ = acceptor_.local_endpoint(error);
    return base::success();
}

base::result<void> listener::listen()
{
    boost::system::error_code error;
    acceptor_.open(address_.protocol(), error);
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(address_, error);
    if (!error)
    {
        acceptor_.listen(tcp::acceptor::max_listen_connections, error);
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

void listener::close_idle()
{
    drop_dead();
    for (const auto& each : connections_)
    {
        if (const auto connection = each.lock())
        {
            connection->close_if_idle();
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
    // Another process may have taken the port; the next tick tries again.
    refusing_ = !listen();
}

std::size_t listener::active_requests()
{
    std::size_t count = 0;
    for (const auto& each : connections_)
    {
        const auto connection = each.lock();
        count += connection && connection->is_answering() ? 1 : 0;
    }
    return count;
}

void listener::accept()
{
    acceptor_.async_accept(owner_.guard(
        [this](const boost::system::error_code& error, tcp::socket socket)
        {
            // Closed meanwhile, and perhaps open again: then others wait for its connections.
            if (error == boost::asio::error::operation_aborted || !acceptor_.is_open())
            {
                return;
            }
            if (error)
            {
                refuse();
                return;
            }
            take(std::move(socket));
            accept_waiting();
            if (!refusing_)
            {
                accept();
            }
        }));
}

/// The event loop hands out one connection a turn, and a busy turn takes some milliseconds: at 500
/// connections a second callers waited in the queue of the listening socket for more than a second
/// and left, while the process had time for them.
void listener::accept_waiting()
{
    boost::system::error_code error;
    for (std::size_t count = 0; count < accepted_at_a_time && !refusing_; ++count)
    {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (error)
        {
            return;
        }
        take(std::move(socket));
    }
}

void listener::set_admission(std::function<bool()> on_taken)
{
    on_taken_ = std::move(on_taken);
}

void listener::take(tcp::socket socket)
{
    if (*open_ >= max_connections_)
    {
        make_room();
    }
    if (connections_.size() > 2 * *open_ + slack_of_dead)
    {
        drop_dead();
    }
    if (*open_ >= max_connections_)
    {
        refuse();
        return;
    }
    const auto connection = std::make_shared<server_connection>(std::move(socket), timers_, limits_,
                                                                on_request_, open_);
    connections_.push_back(connection);
    connection->start();
    if (on_taken_ && !on_taken_())
    {
        refuse();
    }
}

void listener::make_room()
{
    std::size_t closed = 0;
    for (const auto& each : connections_)
    {
        const auto connection = each.lock();
        closed += connection && connection->close_if_idle() ? 1 : 0;
        if (closed >= closed_at_a_time)
        {
            break;
        }
    }
}

void listener::drop_dead()
{
    std::erase_if(connections_, [](const auto& each) { return each.expired(); });
}

}  // namespace caraway::http
