#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/http/door.hpp"
#include "libcaraway/http/owner_token.hpp"
#include "libcaraway/http/server_connection.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <vector>

namespace caraway::http
{

/// Accepts connections at one address and passes their requests to a handler.
class listener
{
public:
    listener(boost::asio::io_context& loop, timer_queue& timers,
             server_connection::limits_source limits, server_connection::handler on_request,
             std::size_t max_connections);

    /// Closes all connections of the listener.
    ~listener();

    /// Starts listening; port 0 selects a free port. Errors: errc::invalid_argument if the address
    /// is no IP address; errc::unavailable if the address is in use or isn't assigned to this
    /// machine.
    base::result<void> open(const routing::endpoint& address);
    /// The port in use, also if `open` was called with port 0.
    std::uint16_t port() const;

    /// Sets what the kernel may hold of a connection that isn't read, in bytes. Before `open`.
    void set_receive_buffer(std::size_t bytes)
    {
        receive_buffer_ = bytes;
    }
    /// Closes connections whose callers hold memory and don't go on; first, if little is left,
    /// idle ones. To be called regularly while memory is scarce.
    void relieve(memory_budget& memory);

    /// Sets a predicate called after each accepted connection. If it returns false, the listener
    /// refuses connections until `resume`.
    void set_admission(std::function<bool()> admits_more);
    /// Sets what decides about new connections. While it accepts no more, the listener refuses
    /// connections until `resume`.
    void set_door(door entry);
    /// Listens again if connections are being refused. Called periodically.
    void resume();
    /// Whether new connections are being refused.
    bool refusing() const
    {
        return refusing_;
    }
    /// How often the listener started to refuse connections since its creation.
    std::uint64_t refusals() const
    {
        return refusals_;
    }

    /// Closes connections that are between requests. Busy connections close after their answer if
    /// `server_limits::closing` is set.
    /// `first_request_time`: for which the first request of a new connection may be on its way.
    void close_idle(std::chrono::milliseconds first_request_time = {});
    /// Refuses the requests of which only a part has arrived.
    void refuse_incomplete();
    /// Stops listening for good; open connections stay.
    void close();

    std::size_t connections() const
    {
        return *open_count_;
    }
    /// Open connections as a fraction of the maximum.
    double used_fraction() const
    {
        return static_cast<double>(*open_count_) / static_cast<double>(max_connections_);
    }
    /// Number of connections whose request or answer is in progress.
    std::size_t active_requests();

private:
    base::result<void> listen();
    void accept();
    void accept_pending();
    bool accepts_more();
    /// Reads what has come with the connection, and refuses or adds it.
    void decide(int handle);
    /// Closes the listening socket until `resume`. The kernel then refuses callers immediately, and
    /// they try another router. Accepting and closing each connection used the whole processor of a
    /// small VM under overload, and callers retried the address that had accepted them. Also used
    /// when file descriptors are exhausted, where retrying immediately would busy-loop.
    void refuse();
    void add_connection(int handle, std::string_view first_bytes = {},
                        const std::optional<std::string>& refusal = std::nullopt);
    void erase_expired();
    /// Returns how many were closed.
    std::size_t close_oldest_idle();

    timer_queue& timers_;
    server_connection::limits_source limits_;
    server_connection::handler on_request_;
    std::size_t max_connections_;
    /// 0: the system's.
    std::size_t receive_buffer_ = 0;
    std::function<bool()> admits_more_;
    door door_;
    std::uint64_t refusals_ = 0;
    bool refusing_ = false;
    boost::asio::ip::tcp::endpoint address_;
    boost::asio::ip::tcp::acceptor acceptor_;
    /// In the order of acceptance; may contain expired entries.
    std::vector<std::weak_ptr<server_connection>> connections_;
    std::shared_ptr<std::size_t> open_count_ = std::make_shared<std::size_t>(0);
    owner_token owner_;
};

}  // namespace caraway::http
