#include "libcaraway/http/server_connection.hpp"

#include "libcaraway/http/read_scratch.hpp"
#include "libcaraway/http/request_checks.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>
#include <utility>

namespace caraway::http
{

namespace
{

namespace beast_http = boost::beast::http;

/// Bytes of pipelined requests read while a request is answered. Reading continues then only to
/// detect that the caller closes the connection.
constexpr std::size_t max_read_ahead_bytes = 65536;
/// Added to the announced keep-alive time, so that requests sent just before its end still arrive.
constexpr std::chrono::milliseconds keep_alive_margin{500};
/// How long a connection stays open after its last answer for bytes in flight. Closing immediately
/// could reset the connection and destroy the answer before the caller has read it.
constexpr std::chrono::milliseconds drain_time{1000};

}  // namespace

server_connection::server_connection(socket_type socket, timer_queue& timers, limits_source limits,
                                     handler on_request, std::shared_ptr<std::size_t> open,
                                     const door* entry)
    : socket_(std::move(socket)), timers_(timers), limits_source_(std::move(limits)),
      on_request_(std::move(on_request)), open_(std::move(open)), door_(entry)
{
    ++*open_;
}

server_connection::~server_connection()
{
    if (!closed_)
    {
        --*open_;
    }
}

void server_connection::start(std::string_view first_bytes)
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    begin_request();
    if (!first_bytes.empty())
    {
        door_ = nullptr;
        buffer_.append(first_bytes);
        parse();
    }
    read();
}

void server_connection::refuse(std::string_view whole_answer)
{
    keep_alive_ = false;
    std::string().swap(buffer_);
    send(whole_answer);
    on_answer_ended(false);
}

bool server_connection::refuse_at_door()
{
    const auto* entry = std::exchange(door_, nullptr);
    if (entry == nullptr || !entry->is_narrow || !entry->is_narrow())
    {
        return false;
    }
    const auto answer = entry->refusal(buffer_);
    if (answer)
    {
        refuse(*answer);
    }
    return answer.has_value();
}

bool server_connection::close_if_idle()
{
    const bool idle = !current_ && buffer_.empty() && !parser_->got_some() && !write_pending_;
    if (idle)
    {
        close();
    }
    return idle;
}

void server_connection::begin_request()
{
    limits_ = limits_source_();
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
    parser_->eager(false);
    head_.reset();
    const bool first = !answered_;
    set_deadline(first ? limits_.idle_timeout
                       : std::min<std::chrono::milliseconds>(
                             limits_.idle_timeout, limits_.keep_alive + keep_alive_margin));
}

void server_connection::read()
{
    if (read_pending_ || closed_ || buffer_.size() >= max_read_ahead_bytes + limits_.header_bytes)
    {
        return;
    }
    read_pending_ = true;
    socket_.async_wait(socket_type::wait_read, [self = shared_from_this()](const auto& error)
                       { self->on_readable(error); });
}

void server_connection::on_readable(const boost::system::error_code& error)
{
    read_pending_ = false;
    if (closed_)
    {
        return;
    }
    boost::system::error_code failed = error;
    std::size_t bytes = 0;
    if (!failed)
    {
        bytes = socket_.read_some(boost::asio::buffer(read_scratch()), failed);
    }
    if (failed && failed != boost::asio::error::would_block)
    {
        on_peer_closed();
        return;
    }
    if (!closing_)
    {
        buffer_.append(read_scratch().data(), bytes);
    }
    if (!current_ && !refuse_at_door())
    {
        parse();
    }
    read();
}

void server_connection::parse()
{
    parse_buffer();
    if (buffer_.empty())
    {
        // Frees the capacity, so that idle connections hold no buffer memory.
        std::string().swap(buffer_);
    }
}

void server_connection::parse_buffer()
{
    while (buffer_.size() > 0 && !current_ && !closing_ && !closed_)
    {
        if (!parser_->got_some())
        {
            first_byte_time_ = timers_.now();
            set_deadline(limits_.header_timeout);
        }
        boost::system::error_code error;
        const auto bytes_parsed = parser_->put(boost::asio::buffer(buffer_), error);
        buffer_.erase(0, bytes_parsed);
        if (error == beast_http::error::need_more)
        {
            if (bytes_parsed == 0)
            {
                return;
            }
            continue;
        }
        if (error)
        {
            reject(rejection_status(error));
            return;
        }
        if (parser_->is_header_done() && !head_)
        {
            on_head();
        }
        if (!closing_ && !closed_ && parser_->is_done())
        {
            on_request_complete();
        }
    }
}

void server_connection::on_head()
{
    // Copied before the body is parsed: the parser adds the trailer fields of a chunked body to the
    // head, and a caller could use them to override fields of the head.
    head_ = parser_->get().base();
    if (!has_unambiguous_framing(*head_) || !has_one_host(*head_))
    {
        reject(status::bad_request);
        return;
    }
    if (boost::beast::iequals((*head_)[field::expect], "100-continue"))
    {
        send("HTTP/1.1 100 Continue\r\n\r\n");
        flush();
    }
    if (!parser_->is_done())
    {
        set_deadline(limits_.idle_timeout);
    }
}

void server_connection::on_request_complete()
{
    timers_.cancel(deadline_);
    keep_alive_ = parser_->keep_alive();
    current_ = std::make_shared<exchange>(shared_from_this(), std::move(*head_),
                                          std::move(parser_->get().body()), first_byte_time_);
    head_.reset();
    on_request_(current_);
}

void server_connection::reject(status code)
{
    keep_alive_ = false;
    auto head = make_response(code);
    head.set(field::content_length, "0");
    send_head(head);
    on_answer_ended(false);
}

void server_connection::set_deadline(std::chrono::milliseconds delay)
{
    timers_.cancel(deadline_);
    deadline_ = timers_.after(delay,
                              [weak = weak_from_this()]
                              {
                                  if (const auto self = weak.lock())
                                  {
                                      self->on_deadline();
                                  }
                              });
}

void server_connection::on_deadline()
{
    if (closing_ || !parser_->got_some())
    {
        close();
        return;
    }
    reject(status::request_timeout);
}

void server_connection::on_peer_closed()
{
    const auto request = current_;
    close();
    if (request && !request->ended_)
    {
        request->ended_ = true;
        if (const auto callback = std::move(request->disconnect_callback_))
        {
            callback();
        }
    }
}

void server_connection::send_head(response_head& head)
{
    limits_ = limits_source_();
    if (limits_.closing)
    {
        keep_alive_ = false;
    }
    if (keep_alive_)
    {
        const auto limit = std::chrono::duration_cast<std::chrono::seconds>(limits_.idle_timeout);
        const auto seconds = std::min(limit, limits_.keep_alive).count();
        head.set(field::keep_alive, "timeout=" + std::to_string(seconds));
    }
    else
    {
        head.set(field::connection, "close");
    }
    beast_http::response<beast_http::empty_body> message{std::move(head)};
    beast_http::response_serializer<beast_http::empty_body> serializer{message};
    serializer.split(true);
    boost::system::error_code error;
    serializer.next(error, [this](const auto&, const auto& buffers)
                    { pending_output_ += boost::beast::buffers_to_string(buffers); });
}

void server_connection::send(std::string_view bytes)
{
    if (!closed_)
    {
        pending_output_ += bytes;
    }
}

void server_connection::flush()
{
    if (write_pending_ || pending_output_.empty() || closed_)
    {
        return;
    }
    write_pending_ = true;
    write_buffer_.swap(pending_output_);
    pending_output_.clear();
    boost::asio::async_write(socket_, boost::asio::buffer(write_buffer_),
                             [self = shared_from_this()](const auto& error, std::size_t)
                             {
                                 self->write_pending_ = false;
                                 self->write_buffer_.clear();
                                 if (error)
                                 {
                                     self->on_peer_closed();
                                     return;
                                 }
                                 self->flush();
                                 if (self->closing_ && !self->write_pending_)
                                 {
                                     self->shut_down_sending();
                                 }
                             });
}

void server_connection::on_answer_ended(bool keep)
{
    current_.reset();
    answered_ = true;
    if (closed_)
    {
        return;
    }
    if (keep && keep_alive_)
    {
        flush();
        begin_request();
        parse();
        read();
        return;
    }
    closing_ = true;
    set_deadline(drain_time);
    if (pending_output_.empty() && !write_pending_)
    {
        shut_down_sending();
        return;
    }
    flush();
    read();
}

void server_connection::shut_down_sending()
{
    boost::system::error_code ignored;
    socket_.shutdown(socket_type::shutdown_send, ignored);
}

void server_connection::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    --*open_;
    timers_.cancel(deadline_);
    current_.reset();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

}  // namespace caraway::http
