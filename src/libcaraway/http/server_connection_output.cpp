// Sending: answers are written as far as the caller reads them.
#include "libcaraway/http/server_connection.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>
#include <utility>

namespace caraway::http
{

namespace
{

namespace beast_http = boost::beast::http;

/// How long a connection stays open after its last answer for bytes in flight. Closing immediately
/// could reset the connection and destroy the answer before the caller has read it.
constexpr std::chrono::milliseconds drain_time{1000};

}  // namespace

void server_connection::give_up_caller()
{
    // An orderly close would look like the end of an answer without a length; a reset does not.
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    on_peer_closed();
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
                    { send(boost::beast::buffers_to_string(buffers)); });
}

void server_connection::before_sending()
{
    if (output_.empty())
    {
        last_taken_ = timers_.now();
        begin_period();
    }
}

void server_connection::send(std::string_view bytes)
{
    if (!closed_)
    {
        before_sending();
        output_.append(bytes);
    }
}

void server_connection::send(std::string&& bytes)
{
    if (!closed_)
    {
        before_sending();
        output_.append(std::move(bytes));
    }
}

void server_connection::flush()
{
    if (write_pending_ || closed_)
    {
        answer_hold_.set(output_.memory());
        return;
    }
    write_output();
}

void server_connection::write_output()
{
    boost::system::error_code error;
    while (!output_.empty() && !error)
    {
        const auto buffers = output_.first();
        const auto offered = boost::asio::buffer_size(buffers);
        const auto bytes = socket_.write_some(buffers, error);
        output_.consume(bytes);
        moved_ += bytes;
        if (bytes > 0)
        {
            last_taken_ = timers_.now();
        }
        if (bytes < offered)
        {
            break;
        }
    }
    write_failed_ = error && error != boost::asio::error::would_block;
    answer_hold_.set(output_.memory());
    if (!output_.empty())
    {
        wait_until_writable();
    }
}

void server_connection::wait_until_writable()
{
    write_pending_ = true;
    if (deadline_ == timer_queue::handle{})
    {
        set_deadline(limits_.idle_timeout);
    }
    // Also where writing failed: the error is handled here, when no owner of a request is at work.
    socket_.async_wait(socket_type::wait_write,
                       [self = shared_from_this()](const boost::system::error_code& error)
                       {
                           self->write_pending_ = false;
                           if (self->closed_)
                           {
                               return;
                           }
                           if (error || self->write_failed_)
                           {
                               self->on_peer_closed();
                               return;
                           }
                           self->write_output();
                           if (self->output_.empty())
                           {
                               self->on_output_taken();
                           }
                       });
}

void server_connection::reject(status code, std::string_view retry_after)
{
    keep_alive_ = false;
    expected_body_ = 0;
    std::string().swap(parser_->body());
    auto head = make_response(code);
    head.set(field::content_length, "0");
    if (!retry_after.empty())
    {
        head.set(field::retry_after, {retry_after.data(), retry_after.size()});
    }
    send_head(head);
    on_answer_ended(false);
}

void server_connection::refuse_incomplete()
{
    const bool has_part = parser_ && (parser_->got_some() || !buffer_.empty());
    if (has_part && may_parse())
    {
        reject(status::service_unavailable);
    }
}

void server_connection::on_answer_ended(bool keep)
{
    current_.reset();
    answered_ = true;
    if (closed_)
    {
        return;
    }
    closing_ = closing_ || !keep || !keep_alive_;
    answer_owed_ = true;
    timers_.cancel(deadline_);
    if (closing_)
    {
        std::string().swap(buffer_);
        parsed_ = 0;
    }
    flush();
    if (output_.empty())
    {
        on_output_taken();
        return;
    }
    set_deadline(limits_.idle_timeout);
    recount();
    read();
}

void server_connection::on_output_taken()
{
    if (current_)
    {
        timers_.cancel(deadline_);
        return;
    }
    const bool was_owed = std::exchange(answer_owed_, false);
    if (closing_)
    {
        finish_closing();
        return;
    }
    if (was_owed)
    {
        begin_request();
    }
    parse();
    read();
}

void server_connection::finish_closing()
{
    boost::system::error_code ignored;
    socket_.shutdown(socket_type::shutdown_send, ignored);
    set_deadline(drain_time);
    recount();
    read();
}

}  // namespace caraway::http
