#pragma once

#include "libcaraway/http/door.hpp"
#include "libcaraway/http/message.hpp"
#include "libcaraway/http/timer_queue.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace caraway::http
{

class server_connection;

/// Limits of a listener's connections. Read again for each request, so that changes also apply to
/// open connections.
struct server_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    std::chrono::milliseconds header_timeout{5000};
    std::chrono::milliseconds idle_timeout{15000};
    /// How long a connection is kept between requests, as announced to callers in the Keep-Alive
    /// field; `idle_timeout` is the upper bound.
    std::chrono::seconds keep_alive{15};
    /// Whether connections are closed after the current answer, with `Connection: close` in it.
    bool closing = false;
};

/// A request and the answer to it. An answer started with `begin` is completed only by `finish`;
/// otherwise the connection is closed. Calls after the end of the answer have no effect.
class exchange
{
public:
    exchange(std::shared_ptr<server_connection> connection, request_head head, std::string body,
             base::time_point arrived);

    const request_head& head() const
    {
        return head_;
    }
    const std::string& body() const
    {
        return body_;
    }
    /// When the first byte of the request was read.
    base::time_point arrived() const
    {
        return arrived_;
    }

    /// Sends a complete answer with a Content-Length.
    void respond(response_head head, std::string_view body);
    /// Starts an answer of unknown length: chunked, or for HTTP/1.0 callers ended by closing the
    /// connection.
    void begin(response_head head);
    void write(std::string_view chunk);
    void finish();
    /// Closes the connection in a way that lets the caller detect the incomplete answer.
    void abort();

    /// Whether the caller has closed the connection, even if the close has not been processed yet.
    /// Costs one system call; for overloaded routers, which read late.
    bool caller_disconnected() const;
    /// Sets the callback for a connection closed by the caller before the answer is complete. It is
    /// called at most once.
    void on_disconnect(std::function<void()> callback);

private:
    friend class server_connection;

    void mark_ended();

    std::shared_ptr<server_connection> connection_;
    request_head head_;
    std::string body_;
    base::time_point arrived_;
    std::function<void()> disconnect_callback_;
    bool chunked_ = false;
    bool begun_ = false;
    bool ended_ = false;
};

/// A connection of a caller. Processes one request at a time and starts the next only after the
/// answer to the previous one, so that answers to pipelined requests can't be mixed. Timers hold a
/// weak reference, as the last owner may be a handler that the event loop destroys after the timer
/// queue.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    using socket_type = boost::asio::ip::tcp::socket;
    using handler = std::function<void(const std::shared_ptr<exchange>&)>;
    using limits_source = std::function<server_limits()>;

    /// `open` is the listener's shared count of open connections. `on_request` is called with each
    /// complete request. `entry` decides about the first one before it is read; it must outlive the
    /// connection's open time, and may be null.
    server_connection(socket_type socket, timer_queue& timers, limits_source limits,
                      handler on_request, std::shared_ptr<std::size_t> open,
                      const door* entry = nullptr);
    ~server_connection();

    /// `first_bytes` were read from the socket before.
    void start(std::string_view first_bytes = {});
    /// Sends this complete answer and closes the connection in a way that lets it arrive. To be
    /// called after `start`, while no request is being answered.
    void refuse(std::string_view whole_answer);
    /// Closes the connection unless a request is being read or answered. Returns whether it closed.
    bool close_if_idle();
    /// Closes the connection immediately. No request is delivered and no byte sent afterwards.
    void close();
    /// Whether a request is in progress or its answer has not been completely passed to the kernel.
    /// A process that exits before then truncates the answer.
    bool is_request_active() const
    {
        return !closed_ && (current_ != nullptr || write_pending_ || !pending_output_.empty());
    }

private:
    friend class exchange;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void begin_request();
    void read();
    void on_readable(const boost::system::error_code& error);
    void parse();
    /// Asks the door about the first bytes of the connection. Returns whether they were refused.
    bool refuse_at_door();
    void parse_buffer();
    void on_head();
    void on_request_complete();
    void reject(status code);
    void set_deadline(std::chrono::milliseconds delay);
    void on_deadline();
    void on_peer_closed();

    void send_head(response_head& head);
    void send(std::string_view bytes);
    void flush();
    void on_answer_ended(bool keep);
    void shut_down_sending();

    socket_type socket_;
    timer_queue& timers_;
    limits_source limits_source_;
    server_limits limits_;
    handler on_request_;
    std::shared_ptr<std::size_t> open_;
    /// Null once the door has been asked.
    const door* door_;
    /// Received bytes that have not been parsed.
    std::string buffer_;
    std::optional<parser_type> parser_;
    std::optional<request_head> head_;
    std::shared_ptr<exchange> current_;
    std::string pending_output_;
    std::string write_buffer_;
    timer_queue::handle deadline_;
    base::time_point first_byte_time_{};
    bool read_pending_ = false;
    bool write_pending_ = false;
    bool keep_alive_ = true;
    bool answered_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

}  // namespace caraway::http
