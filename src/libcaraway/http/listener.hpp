#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/asio/ip/tcp.hpp>

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

    /// Closes connections between requests; those that are in use close after their answer.
    void close_idle();
    void close();

    std::size_t connections();
    /// Requests that are being answered.
    std::size_t answering();

private:
    void accept();
    void drop_dead();

    boost::asio::io_context& loop_;
    timer_queue& timers_;
    server_connection::limits_source limits_;
    server_connection::handler on_request_;
    std::size_t max_connections_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<server_connection>> connections_;
};

}  // namespace caraway::http
