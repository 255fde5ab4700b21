#include "libcaraway/http/server_connection.hpp"

#include <boost/asio/buffer.hpp>

#include <array>
#include <charconv>

namespace caraway::http
{

namespace
{

// Chunked transfer coding (RFC 9112, 7.1).
constexpr std::string_view end_of_line = "\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// The size in hexadecimal digits, on a line of its own.
std::string chunk_begin(std::size_t size)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof size> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal);
    std::string line(digits.data(), written.ptr);
    line += end_of_line;
    return line;
}

}  // namespace

exchange::exchange(std::shared_ptr<server_connection> connection, request_head head,
                   std::shared_ptr<const std::string> body, base::time_point arrived)
    : connection_(std::move(connection)), head_(std::move(head)), body_(std::move(body)),
      arrived_(arrived)
{
}

void exchange::respond(response_head head, std::string_view body)
{
    if (!ended_ && !connection_->has_room_for_answer(body.size()))
    {
        head = make_response(status::service_unavailable);
        body = {};
    }
    respond(std::move(head), std::string(body), {});
}

void exchange::respond(response_head head, std::string&& body, memory_hold held)
{
    if (ended_)
    {
        return;
    }
    mark_ended();
    head.erase(field::transfer_encoding);
    head.set(field::content_length, std::to_string(body.size()));
    connection_->answer_hold_.absorb(held);
    connection_->send_head(head);
    if (head_.method() != verb::head)
    {
        connection_->send(std::move(body));
    }
    connection_->on_answer_ended(true);
}

bool exchange::has_room() const
{
    return connection_->has_room_for_output();
}

void exchange::set_owner_memory(std::size_t bytes)
{
    owner_memory_ = bytes;
    connection_->recount();
}

void exchange::begin(response_head head)
{
    if (ended_)
    {
        return;
    }
    begun_ = true;
    chunked_ = head_.version() >= 11;
    head.erase(field::content_length);
    head.erase(field::transfer_encoding);
    if (chunked_)
    {
        head.set(field::transfer_encoding, "chunked");
    }
    connection_->send_head(head);
    connection_->flush();
}

void exchange::write(std::string_view chunk)
{
    if (ended_ || chunk.empty())
    {
        return;
    }
    if (chunked_)
    {
        connection_->send(std::string_view(chunk_begin(chunk.size())));
        connection_->send(chunk);
        connection_->send(end_of_line);
    }
    else
    {
        connection_->send(chunk);
    }
    connection_->flush();
}

void exchange::finish()
{
    if (ended_)
    {
        return;
    }
    mark_ended();
    if (chunked_)
    {
        connection_->send(last_chunk);
    }
    // Without chunked encoding, only closing the connection marks the end of the answer.
    connection_->on_answer_ended(chunked_);
}

void exchange::abort()
{
    if (ended_)
    {
        return;
    }
    mark_ended();
    if (begun_ && !chunked_)
    {
        // An orderly close would look like the end of the answer; a reset does not.
        boost::system::error_code ignored;
        connection_->socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    else
    {
        // Pending output is still sent; without the last chunk the answer is visibly incomplete.
        connection_->on_answer_ended(false);
        return;
    }
    connection_->close();
}

void exchange::mark_ended()
{
    ended_ = true;
    // The owner holds the exchange and the callback holds the owner; keeping the callback would
    // leak both.
    disconnect_callback_ = nullptr;
}

bool exchange::caller_disconnected() const
{
    char next_byte = 0;
    boost::system::error_code error;
    connection_->socket_.receive(boost::asio::buffer(&next_byte, 1),
                                 server_connection::socket_type::message_peek, error);
    return error && error != boost::asio::error::would_block;
}

void exchange::on_disconnect(std::function<void()> callback)
{
    disconnect_callback_ = std::move(callback);
}

}  // namespace caraway::http
