#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace client_tests
{

/// How the clients of a crowd read.
enum class reading
{
    nothing,
    /// 2 KB ten times a second.
    slowly,
    everything,
};

/// Clients that each send the same bytes on a connection of their own, which stays open.
class crowd
{
public:
    struct terms
    {
        std::uint16_t port = 0;
        std::size_t clients = 1;
        /// Returns the first bytes of a client, by its number; `rest` follows them.
        std::function<std::string(std::size_t)> first_bytes;
        std::shared_ptr<const std::string> rest = std::make_shared<std::string>();
        reading reads = reading::nothing;
    };

    crowd(boost::asio::io_context& loop, const terms& sent);
    ~crowd();

    /// Closes all connections.
    void leave();

private:
    struct client;

    std::vector<std::shared_ptr<client>> clients_;
};

}  // namespace client_tests
