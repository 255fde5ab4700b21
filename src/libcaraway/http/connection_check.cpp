#include "libcaraway/http/connection_check.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace caraway::http
{

namespace
{

using boost::asio::ip::tcp;

struct connection_check
{
    connection_check(boost::asio::io_context& loop, std::function<void(listening)> callback)
        : socket(loop), deadline(loop), done(std::move(callback))
    {
    }

    /// Only the first result counts.
    void finish(listening result)
    {
        if (!done)
        {
            return;
        }
        const auto callback = std::move(done);
        done = nullptr;
        deadline.cancel();
        boost::system::error_code ignored;
        socket.close(ignored);
        callback(result);
    }

    tcp::socket socket;
    boost::asio::steady_timer deadline;
    std::function<void(listening)> done;
};

listening result_of(const boost::system::error_code& error)
{
    if (!error)
    {
        return listening::yes;
    }
    return error == boost::asio::error::connection_refused ? listening::no : listening::unknown;
}

}  // namespace

void check_listening(boost::asio::io_context& loop, const routing::endpoint& to,
                     std::chrono::milliseconds timeout, std::function<void(listening)> done)
{
    const auto check = std::make_shared<connection_check>(loop, std::move(done));
    boost::system::error_code invalid;
    const auto ip = boost::asio::ip::make_address(to.ip, invalid);
    if (invalid)
    {
        check->finish(listening::unknown);
        return;
    }
    check->deadline.expires_after(timeout);
    check->deadline.async_wait([check](const auto&) { check->finish(listening::unknown); });
    check->socket.async_connect(tcp::endpoint(ip, to.port),
                                [check](const auto& error) { check->finish(result_of(error)); });
}

}  // namespace caraway::http
