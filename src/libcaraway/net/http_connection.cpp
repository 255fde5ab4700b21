#include "libcaraway/net/http_connection.hpp"

#include "libcaraway/net/http_exchange.hpp"
#include "libcaraway/net/http_filtered_socket.hpp"
#include "libcaraway/net/http_socket.hpp"

#include <QTcpSocket>

#include <sys/socket.h>
#include <utility>

namespace caraway::net
{

namespace
{

/// What one connection holds of a caller that sends ahead.
constexpr qint64 read_buffer_bytes = qint64{64} * 1024;
constexpr std::size_t low_water_bytes = std::size_t{64} * 1024;
/// For a caller to read the last answer while it still sends.
constexpr std::chrono::seconds linger_time{2};

base::time_point now()
{
    return std::chrono::steady_clock::now();
}

}  // namespace

http_connection::http_connection(http_worker_state& worker, QTcpSocket* socket, QObject* parent)
    : QObject(parent), worker_(worker), socket_(socket), filtered_(new http_filtered_socket(*this)),
      framing_(
          {.header_bytes = worker.limits.header_bytes, .body_bytes = worker.limits.body_bytes}),
      peer_(address_text(socket->peerAddress())), last_input_(now()), request_began_(last_input_),
      last_output_(last_input_), linger_began_(last_input_)
{
    socket_->setParent(this);
    socket_->setReadBufferSize(read_buffer_bytes);
    set_liveness_options(socket_->socketDescriptor(), worker.limits.write_stall_timeout);
    connect(socket_, &QTcpSocket::readyRead, this, &http_connection::on_ready_read);
    connect(socket_, &QTcpSocket::bytesWritten, this, &http_connection::on_bytes_written);
    connect(socket_, &QTcpSocket::disconnected, this, &http_connection::on_disconnected);
}

http_connection::~http_connection()
{
    socket_->disconnect(this);
    if (exchange_ != nullptr)
    {
        --worker_.exchanges;
        std::exchange(exchange_, nullptr)->lose_caller();
    }
}

http_filtered_socket& http_connection::filtered_socket()
{
    return *filtered_;
}

void http_connection::on_ready_read()
{
    if (phase_ == phase::receiving)
    {
        read_requests();
    }
    else if (phase_ == phase::lingering)
    {
        socket_->readAll();
    }
}

void http_connection::read_requests()
{
    // Answering a request from within its handler would lead back here.
    if (is_reading_)
    {
        return;
    }
    is_reading_ = true;
    while (phase_ == phase::receiving && (!input_.isEmpty() || socket_->bytesAvailable() > 0))
    {
        read_some();
    }
    is_reading_ = false;
}

void http_connection::read_some()
{
    if (input_.isEmpty())
    {
        input_ = socket_->readAll();
    }
    last_input_ = now();
    if (framing_.current() == request_framing::stage::idle)
    {
        request_began_ = last_input_;
    }
    std::string passed;
    const std::size_t taken =
        framing_.feed({input_.constData(), static_cast<std::size_t>(input_.size())}, passed);
    input_.remove(0, static_cast<qsizetype>(taken));
    if (framing_.current() == request_framing::stage::failed)
    {
        const framing_error& error = framing_.error();
        refuse(error.status, error.code, error.message);
        return;
    }
    if (!passed.empty())
    {
        filtered_->push(std::move(passed));
    }
    if (phase_ != phase::receiving)
    {
        return;
    }
    if (framing_.current() == request_framing::stage::complete)
    {
        begin_exchange();
        return;
    }
    send_continue_if_awaited();
}

void http_connection::send_continue_if_awaited()
{
    if (framing_.current() == request_framing::stage::body && framing_.expects_continue() &&
        framing_.body_size() == 0 && !continue_sent_)
    {
        continue_sent_ = true;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_connection::take_parsed(std::vector<http_header> headers, QByteArray body)
{
    parsed_ = http_request{.headers = std::move(headers), .body = std::move(body)};
}

void http_connection::parser_refused()
{
    refuse(400, "bad_request", "The request can't be parsed.");
}

void http_connection::begin_exchange()
{
    // Should the parser ever see another request than was checked, nothing of it may run.
    if (!parsed_ || static_cast<std::size_t>(parsed_->body.size()) != framing_.body_size())
    {
        parser_refused();
        return;
    }
    http_request request = std::move(*parsed_);
    parsed_.reset();
    request.method = framing_.method();
    request.target = framing_.target();
    const auto question_mark = request.target.find('?');
    request.path = request.target.substr(0, question_mark);
    if (question_mark != std::string::npos)
    {
        request.query = request.target.substr(question_mark + 1);
    }
    request.peer = peer_;

    phase_ = phase::answering;
    served_ = true;
    ++worker_.exchanges;
    const auto exchange = http_exchange::create(std::move(request), *this);
    exchange_ = exchange.get();
    worker_.handler(exchange);
}

void http_connection::end_exchange()
{
    exchange_ = nullptr;
    --worker_.exchanges;
    if (!form_.keep_alive)
    {
        linger_and_close();
        return;
    }
    phase_ = phase::receiving;
    framing_.reset();
    continue_sent_ = false;
    last_input_ = now();
    if (!input_.isEmpty() || socket_->bytesAvailable() > 0)
    {
        // Not from here: this may be the middle of a handler.
        QMetaObject::invokeMethod(this, &http_connection::on_ready_read, Qt::QueuedConnection);
    }
}

answer_form http_connection::form_of_answer()
{
    return {.is_http_1_0 = framing_.is_http_1_0(),
            .is_head = framing_.method() == "HEAD",
            .keep_alive = framing_.keep_alive() && !worker_.closing};
}

void http_connection::send_whole(const http_response& response)
{
    form_ = form_of_answer();
    QByteArray answer = response_head(response.status, response.headers, form_,
                                      static_cast<std::size_t>(response.body.size()));
    if (!form_.is_head && !has_no_body(response.status))
    {
        answer.append(response.body);
    }
    send(answer);
    end_exchange();
}

void http_connection::send_head(int status, const std::vector<http_header>& headers)
{
    form_ = form_of_answer();
    body_suppressed_ = form_.is_head || has_no_body(status);
    // To HTTP/1.0 the end of a streamed body shows only by the end of the connection.
    form_.keep_alive = form_.keep_alive && (!form_.is_http_1_0 || body_suppressed_);
    send(response_head(status, headers, form_, std::nullopt));
}

void http_connection::send_piece(const QByteArray& data)
{
    if (body_suppressed_)
    {
        return;
    }
    if (form_.is_http_1_0)
    {
        send(data);
        return;
    }
    constexpr qsizetype framing_bytes = 20;
    QByteArray chunk;
    chunk.reserve(data.size() + framing_bytes);
    chunk.append(QByteArray::number(data.size(), 16)).append("\r\n").append(data).append("\r\n");
    send(chunk);
}

void http_connection::send_end()
{
    if (!body_suppressed_ && !form_.is_http_1_0)
    {
        send("0\r\n\r\n");
    }
    end_exchange();
}

void http_connection::break_off()
{
    exchange_ = nullptr;
    --worker_.exchanges;
    set_reset_on_close(socket_->socketDescriptor());
    socket_->abort();
}

void http_connection::give_up(bool answer_begun)
{
    if (answer_begun)
    {
        break_off();
        return;
    }
    send_whole(error_response(500, "internal", "The request was given up."));
}

void http_connection::refuse(int status, std::string_view code, std::string_view message)
{
    if (phase_ != phase::receiving)
    {
        return;
    }
    const http_response response = error_response(status, code, message);
    const answer_form form{.is_http_1_0 = framing_.is_http_1_0(), .keep_alive = false};
    send(response_head(response.status, response.headers, form,
                       static_cast<std::size_t>(response.body.size())) +
         response.body);
    linger_and_close();
}

void http_connection::linger_and_close()
{
    // Closing while the caller still sends would reset the connection, and the reset can overtake
    // the answer. So only the sending half is closed, and what still comes is read away for a
    // while.
    phase_ = phase::lingering;
    linger_began_ = now();
    input_.clear();
    socket_->readAll();
    on_bytes_written();
}

void http_connection::send(const QByteArray& data)
{
    if (socket_->bytesToWrite() == 0)
    {
        last_output_ = now();
    }
    socket_->write(data);
    above_low_water_ = above_low_water_ || unsent_bytes() > low_water_bytes;
}

void http_connection::on_bytes_written()
{
    last_output_ = now();
    if (above_low_water_ && unsent_bytes() <= low_water_bytes)
    {
        above_low_water_ = false;
        if (exchange_ != nullptr)
        {
            Q_EMIT exchange_->drained();
        }
    }
    if (phase_ == phase::lingering && socket_->bytesToWrite() == 0 && !write_shut_)
    {
        write_shut_ = true;
        ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    }
}

std::size_t http_connection::unsent_bytes() const
{
    return static_cast<std::size_t>(socket_->bytesToWrite());
}

void http_connection::check_deadlines(base::time_point now)
{
    const http_limits& limits = worker_.limits;
    const auto has_passed = [now](base::time_point since, std::chrono::milliseconds limit)
    {
        return now - since > limit;
    };

    if (socket_->bytesToWrite() > 0 && has_passed(last_output_, limits.write_stall_timeout))
    {
        set_reset_on_close(socket_->socketDescriptor());
        socket_->abort();
        return;
    }
    if (phase_ == phase::lingering && write_shut_ && has_passed(linger_began_, linger_time))
    {
        socket_->abort();
        return;
    }
    if (phase_ != phase::receiving)
    {
        return;
    }
    const auto stage = framing_.current();
    if (stage == request_framing::stage::header &&
        has_passed(request_began_, limits.header_timeout))
    {
        refuse(408, "request_timeout", "The header took too long to arrive.");
    }
    else if (stage == request_framing::stage::body && has_passed(last_input_, limits.body_timeout))
    {
        refuse(408, "request_timeout", "The body took too long to arrive.");
    }
    else if (stage == request_framing::stage::idle && has_passed(last_input_, limits.idle_timeout))
    {
        linger_and_close();
    }
}

void http_connection::close_if_idle()
{
    if (phase_ == phase::receiving && served_ && input_.isEmpty() &&
        framing_.current() == request_framing::stage::idle && socket_->bytesAvailable() == 0 &&
        !has_unread_bytes(socket_->socketDescriptor()))
    {
        linger_and_close();
    }
}

void http_connection::on_disconnected()
{
    if (std::exchange(phase_, phase::closed) == phase::closed)
    {
        return;
    }
    if (exchange_ != nullptr)
    {
        --worker_.exchanges;
        std::exchange(exchange_, nullptr)->lose_caller();
    }
    Q_EMIT closed();
    deleteLater();
}

}  // namespace caraway::net
