#pragma once

#include "libcaraway/router/daemon.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>

namespace users_platform_tests
{

/// Sends digests to routers in the name of peers that don't exist.
class digest_sender
{
public:
    explicit digest_sender(boost::asio::io_context& loop) : socket_(loop)
    {
        socket_.open(boost::asio::ip::udp::v4());
    }

    void send(const caraway::router::daemon& receiver, const caraway::routing::digest& digest)
    {
        const auto& address = receiver.options().datagrams;
        const auto ip = boost::asio::ip::make_address(address.ip);
        socket_.send_to(boost::asio::buffer(caraway::routing::encode(digest)),
                        boost::asio::ip::udp::endpoint(ip, address.port));
    }

private:
    boost::asio::ip::udp::socket socket_;
};

}  // namespace users_platform_tests
