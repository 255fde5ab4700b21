#include "libcaraway/http/server_connection.hpp"

#include "libcaraway/http/read_scratch.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>

namespace caraway::http
{

namespace
{

namespace beast_http = boost::beast::http;

/// Bytes of later requests that are read while one is answered; reading goes on only to notice
/// that the caller leaves.
constexpr std::size_t max_read_ahead = 65536;
/// Beyond the time that callers are told: a request sent in the last moment still arrives.
constexpr std::chrono::milliseconds keep_margin{500};
/// How long a connection that is to close may stay open for bytes under way: closing at once would
/// reset it and could destroy the answer before the caller has read it.
constexpr std::chrono::milliseconds drain_time{1000};

std::size_t count_of(const request_head& head, field name)
{
    const auto [first, last] = head.equal_range(name);
    return static_cast<std::size_t>(std::distance(first, last));
}

/// Framing that two readers could understand differently is refused: it is how one request is
/// hidden inside another.
bool has_clear_framing(const request_head& head)
{
    const auto encodings = count_of(head, field::transfer_encoding);
    const auto lengths = count_of(head, field::content_length);
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0))
    {
        return false;
    }
    const auto length = head[field::content_length];
    if (!std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; }))
    {
        return false;
    }
    if (encodings == 1)
    {
        return head.version() >= 11 &&
               boost::beast::iequals(head[field::transfer_encoding], "chunked");
    }
    return true;
}

bool has_one_host(const request_head& head)
{
    const auto hosts = count_of(head, field::host);
    return hosts == 1 || (hosts == 0 && head.version() < 11);
}

status status_of(const boost::system::error_code& error)
{
    if (error == beast_http::error::header_limit)
    {
        return status::request_header_fields_too_large;
    }
    if (error == beast_http::error::body_limit)
    {
        return status::payload_too_large;
    }
    return status::bad_request;
}

}  // namespace

server_connection::server_connection(socket_type socket, timer_queue& timers, limits_source limits,
                                     handler on_request, std::shared_ptr<std::size_t> open)
    : socket_(std::move(socket)), timers_(timers), limits_source_(std::move(limits)),
      on_request_(std::move(on_request)), open_(std::move(open))
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

void server_connection::start()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    begin_request();
    read();
}

bool server_connection::close_if_idle()
{
    const bool idle = !current_ && buffer_.empty() && !parser_->got_some() && !writing_;
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
                       : std::min<std::chrono::milliseconds>(limits_.idle_timeout,
                                                             limits_.keep_alive + keep_margin));
}

void server_connection::read()
{
    if (reading_ || closed_ || buffer_.size() >= max_read_ahead + limits_.header_bytes)
    {
        return;
    }
    reading_ = true;
    socket_.async_wait(socket_type::wait_read, [self = shared_from_this()](const auto& error)
                       { self->on_readable(error); });
}

void server_connection::on_readable(const boost::system::error_code& error)
{
    reading_ = false;
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
    if (!ending_)
    {
        buffer_.append(read_scratch().data(), bytes);
    }
    if (!current_)
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
        // An idle connection holds no memory for what it once read.
        std::string().swap(buffer_);
    }
}

void server_connection::parse_buffer()
{
    while (buffer_.size() > 0 && !current_ && !ending_ && !closed_)
    {
        if (!parser_->got_some())
        {
            first_byte_ = timers_.now();
            set_deadline(limits_.header_timeout);
        }
        boost::system::error_code error;
        const auto used = parser_->put(boost::asio::buffer(buffer_), error);
        buffer_.erase(0, used);
        if (error == beast_http::error::need_more)
        {
            if (used == 0)
            {
                return;
            }
            continue;
        }
        if (error)
        {
            reject(status_of(error));
            return;
        }
        if (parser_->is_header_done() && !head_)
        {
            on_head();
        }
        if (!ending_ && !closed_ && parser_->is_done())
        {
            on_whole();
        }
    }
}

void server_connection::on_head()
{
    // Kept as it is now: the parser would add the fields that follow a chunked body, and a caller
    // could use them to claim what its head did not.
    head_ = parser_->get().base();
    if (!has_clear_framing(*head_) || !has_one_host(*head_))
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

void server_connection::on_whole()
{
    timers_.cancel(deadline_);
    keep_ = parser_->keep_alive();
    current_ = std::make_shared<exchange>(shared_from_this(), std::move(*head_),
                                          std::move(parser_->get().body()), first_byte_);
    head_.reset();
    on_request_(current_);
}

void server_connection::reject(status code)
{
    keep_ = false;
    auto head = make_response(code);
    head.set(field::content_length, "0");
    send_head(head);
    answer_ended(false);
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
    if (ending_ || !parser_->got_some())
    {
        close();
        return;
    }
    reject(status::request_timeout);
}

void server_connection::on_peer_closed()
{
    const auto answering = current_;
    close();
    if (answering && !answering->ended_)
    {
        answering->ended_ = true;
        if (const auto gone = std::move(answering->gone_))
        {
            gone();
        }
    }
}

void server_connection::send_head(response_head& head)
{
    limits_ = limits_source_();
    if (limits_.closing)
    {
        keep_ = false;
    }
    if (keep_)
    {
        const auto longest = std::chrono::duration_cast<std::chrono::seconds>(limits_.idle_timeout);
        const auto seconds = std::min(longest, limits_.keep_alive).count();
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
                    { out_ += boost::beast::buffers_to_string(buffers); });
}

void server_connection::send(std::string_view bytes)
{
    if (!closed_)
    {
        out_ += bytes;
    }
}

void server_connection::flush()
{
    if (writing_ || out_.empty() || closed_)
    {
        return;
    }
    writing_ = true;
    sending_.swap(out_);
    out_.clear();
    boost::asio::async_write(socket_, boost::asio::buffer(sending_),
                             [self = shared_from_this()](const auto& error, std::size_t)
                             {
                                 self->writing_ = false;
                                 self->sending_.clear();
                                 if (error)
                                 {
                                     self->on_peer_closed();
                                     return;
                                 }
                                 self->flush();
                                 if (self->ending_ && !self->writing_)
                                 {
                                     self->end_writing();
                                 }
                             });
}

void server_connection::answer_ended(bool keep)
{
    current_.reset();
    answered_ = true;
    if (closed_)
    {
        return;
    }
    if (keep && keep_)
    {
        flush();
        begin_request();
        parse();
        read();
        return;
    }
    ending_ = true;
    set_deadline(drain_time);
    if (out_.empty() && !writing_)
    {
        end_writing();
        return;
    }
    flush();
    read();
}

void server_connection::end_writing()
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
