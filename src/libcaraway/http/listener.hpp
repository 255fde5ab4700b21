#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <vector>

namespace caraway::http
{

/// Accepts connections at one address and hands out their requests.
class listener
{
public:
    listener(boost::asio::io_context& loop, timer_queue& timers,
             server_connection::limits_source limits, server_connection::handler on_request,
             std::size_t max_connections);

    /// Errors: the address is taken or isn't this machine's.
    base::result<void> open(const routing::endpoint& address);
    std::uint16_t port() const;

    /// Asked for each new connection; one that isn't admitted is closed unread.
    void set_admission(std::function<bool()> admits);
    /// Connections that were closed unread, ever.
    std::uint64_t turned_away() const
    {
        return turned_away_;
    }

    /// Closes connections between requests; those that are in use close after their answer.
    void close_idle();
    void close();

    std::size_t connections() const
    {
        return *open_;
    }
    /// Of the connections that it may have, the part that it has.
    double pressure() const
    {
        return static_cast<double>(*open_) / static_cast<double>(max_connections_);
    }
    /// Requests that are being answered.
    std::size_t answering();

private:
    void accept();
    void accept_waiting();
    void take(boost::asio::ip::tcp::socket socket);
    void drop_dead();
    void make_room();

    timer_queue& timers_;
    server_connection::limits_source limits_;
    server_connection::handler on_request_;
    std::size_t max_connections_;
    std::function<bool()> admits_;
    std::uint64_t turned_away_ = 0;
    boost::asio::ip::tcp::acceptor acceptor_;
    /// In the order in which they were opened.
    std::vector<std::weak_ptr<server_connection>> connections_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

}  // namespace caraway::http
