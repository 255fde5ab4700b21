#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/http/owner_token.hpp"
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

    /// Its connections end with it.
    ~listener();

    /// Errors: the address is taken or isn't this machine's.
    base::result<void> open(const routing::endpoint& address);
    std::uint16_t port() const;

    /// Called for each connection that was taken; false: no more until `resume`.
    void set_admission(std::function<bool()> on_taken);
    /// Listens again, if new connections are being refused. For a regular tick.
    void resume();
    /// New connections are being refused.
    bool refusing() const
    {
        return refusing_;
    }
    /// How often it began to refuse, ever.
    std::uint64_t refusals() const
    {
        return refusals_;
    }

    /// Closes connections between requests; those that are in use close after their answer.
    void close_idle();
    void close();

    std::size_t connections() const
    {
        return *open_;
    }
    /// Of the connections that it may have, the part that it has.
    double used_fraction() const
    {
        return static_cast<double>(*open_) / static_cast<double>(max_connections_);
    }
    /// Requests that are being answered.
    std::size_t active_requests();

private:
    base::result<void> listen();
    void accept();
    void accept_waiting();
    /// Closes the listening socket until `resume`: the system then refuses callers at once, who go
    /// elsewhere. To accept and close each took the whole processor of a small VM in a flood, and
    /// callers came back to the address that had accepted them. The same where descriptors have run
    /// out: trying on at once would take the processor too.
    void refuse();
    void take(boost::asio::ip::tcp::socket socket);
    void drop_dead();
    void make_room();

    timer_queue& timers_;
    server_connection::limits_source limits_;
    server_connection::handler on_request_;
    std::size_t max_connections_;
    std::function<bool()> on_taken_;
    std::uint64_t refusals_ = 0;
    bool refusing_ = false;
    boost::asio::ip::tcp::endpoint address_;
    boost::asio::ip::tcp::acceptor acceptor_;
    /// In the order in which they were opened.
    std::vector<std::weak_ptr<server_connection>> connections_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    owner_token owner_;
};

}  // namespace caraway::http
