#include "crowd.hpp"

#include <boost/asio/write.hpp>

#include <array>

namespace client_tests
{

using tcp = boost::asio::ip::tcp;

struct crowd::client : std::enable_shared_from_this<client>
{
    client(boost::asio::io_context& loop, const terms& sent, std::string first)
        : socket(loop), pause(loop), first_bytes(std::move(first)), rest(sent.rest),
          reads(sent.reads)
    {
    }

    void start(std::uint16_t port)
    {
        socket.async_connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port),
                             [self = shared_from_this()](const auto& error)
                             {
                                 if (!error)
                                 {
                                     self->send();
                                     self->read();
                                 }
                             });
    }

    void send()
    {
        const std::array<boost::asio::const_buffer, 2> bytes{boost::asio::buffer(first_bytes),
                                                             boost::asio::buffer(*rest)};
        boost::asio::async_write(socket, bytes,
                                 [self = shared_from_this()](const auto&, std::size_t) {});
    }

    void read()
    {
        if (reads == reading::nothing)
        {
            return;
        }
        socket.async_read_some(boost::asio::buffer(buffer),
                               [self = shared_from_this()](const auto& error, std::size_t)
                               {
                                   if (!error)
                                   {
                                       self->read_again();
                                   }
                               });
    }

    void read_again()
    {
        if (reads == reading::everything)
        {
            read();
            return;
        }
        pause.expires_after(std::chrono::milliseconds(100));
        pause.async_wait([self = shared_from_this()](const auto&) { self->read(); });
    }

    tcp::socket socket;
    boost::asio::steady_timer pause;
    std::string first_bytes;
    std::shared_ptr<const std::string> rest;
    reading reads;
    std::array<char, 2048> buffer{};
};

crowd::crowd(boost::asio::io_context& loop, const terms& sent)
{
    for (std::size_t number = 0; number < sent.clients; ++number)
    {
        clients_.push_back(std::make_shared<client>(loop, sent, sent.first_bytes(number)));
        clients_.back()->start(sent.port);
    }
}

crowd::~crowd()
{
    leave();
}

void crowd::leave()
{
    for (const auto& each : clients_)
    {
        boost::system::error_code ignored;
        each->socket.close(ignored);
        each->pause.cancel();
    }
    clients_.clear();
}

}  // namespace client_tests
