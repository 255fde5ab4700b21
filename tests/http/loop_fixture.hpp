#pragma once

#include "libcaraway/http/timer_queue.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>

namespace http_tests
{

using tcp = boost::asio::ip::tcp;

/// Event loop that runs both ends of each connection of a test.
struct loop_fixture
{
    boost::asio::io_context loop;
    caraway::base::machine_clock clock;
    caraway::http::timer_queue timers{loop, clock};

    /// Runs the loop until the condition holds; returns false if it doesn't within ten seconds.
    bool becomes_true(const std::function<bool()>& condition)
    {
        const auto deadline = clock.now() + std::chrono::seconds(10);
        while (!condition() && clock.now() < deadline)
        {
            loop.restart();
            loop.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    /// Runs the loop until pending handlers have run, for up to 40 ms.
    void settle()
    {
        for (int turn = 0; turn < 20; ++turn)
        {
            loop.restart();
            loop.run_one_for(std::chrono::milliseconds(2));
        }
    }
};

/// The remote end of a connection: sends raw bytes and records the bytes that it receives.
class raw_peer : public std::enable_shared_from_this<raw_peer>
{
public:
    explicit raw_peer(tcp::socket socket) : socket_(std::move(socket)) {}

    void start()
    {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [self = shared_from_this()](const auto& error, std::size_t bytes)
                                {
                                    if (error)
                                    {
                                        self->ended = true;
                                        return;
                                    }
                                    self->received.append(self->buffer_, bytes);
                                    self->start();
                                });
    }

    void send(const std::string& text)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(text), ignored);
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    /// Ends the sent bytes; received ones are read on.
    void shut_down_sending()
    {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void reset()
    {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    std::string received;
    bool ended = false;

private:
    tcp::socket socket_;
    char buffer_[4096] = {};
};

/// Accepts connections on a free port of the loopback address.
class raw_server
{
public:
    explicit raw_server(boost::asio::io_context& loop)
        : acceptor_(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    std::vector<std::shared_ptr<raw_peer>> peers;

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](const auto& error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                peers.push_back(std::make_shared<raw_peer>(std::move(socket)));
                peers.back()->start();
                accept();
            });
    }

    tcp::acceptor acceptor_;
};

inline std::shared_ptr<raw_peer> connect_to(boost::asio::io_context& loop, std::uint16_t port)
{
    tcp::socket socket(loop);
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    auto end = std::make_shared<raw_peer>(std::move(socket));
    end->start();
    return end;
}

inline std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

}  // namespace http_tests
