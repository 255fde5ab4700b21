#pragma once

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

/// What a listener's connections keep to; read anew for each request, so that changes apply to
/// connections that are open.
struct server_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    std::chrono::milliseconds header_timeout{5000};
    std::chrono::milliseconds idle_timeout{15000};
    /// How long a connection is kept between requests, as callers are told; no longer than
    /// `idle_timeout`.
    std::chrono::seconds keep_alive{15};
    /// Answers say that the connection closes after them.
    bool closing = false;
};

/// One request and the answer to it. The answer is whole or the connection ends: `finish` is the
/// only way to complete one that was begun.
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
    /// When its first byte was read.
    base::time_point arrived() const
    {
        return arrived_;
    }

    /// A whole answer.
    void respond(response_head head, std::string_view body);
    /// Begins an answer of unknown length.
    void begin(response_head head);
    void write(std::string_view part);
    void finish();
    /// Ends the connection so that what was sent doesn't look complete.
    void abort();

    /// Looks whether the caller has closed its connection though that wasn't read yet; one more
    /// call to the system, for routers that read late.
    bool caller_disconnected() const;
    /// Called once if the caller closes its connection before the answer is complete.
    void on_disconnect(std::function<void()> action);

private:
    friend class server_connection;

    void set_ended();

    std::shared_ptr<server_connection> connection_;
    request_head head_;
    std::string body_;
    base::time_point arrived_;
    std::function<void()> gone_;
    bool chunked_ = false;
    bool begun_ = false;
    bool ended_ = false;
};

/// One connection of a caller. Timers find it by a weak reference, as the last owner may be a
/// handler that the event loop drops after the timers are gone. It reads requests one after the
/// other, the next only when the last is answered, so that pipelined requests can't mix their
/// answers.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    using socket_type = boost::asio::ip::tcp::socket;
    using handler = std::function<void(const std::shared_ptr<exchange>&)>;
    using limits_source = std::function<server_limits()>;

    /// `open` counts the connections of a listener that aren't closed.
    server_connection(socket_type socket, timer_queue& timers, limits_source limits,
                      handler on_request, std::shared_ptr<std::size_t> open);
    ~server_connection();

    void start();
    /// Closes it unless a request is being read or answered; whether it did.
    bool close_if_idle();
    /// At once, whatever is under way; nothing is handed out or sent any more.
    void close();
    /// Until the last byte of an answer is with the machine's network: a process that ends before
    /// cuts an answer that was whole.
    bool is_answering() const
    {
        return !closed_ && (current_ != nullptr || writing_ || !out_.empty());
    }

private:
    friend class exchange;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void begin_request();
    void read();
    void on_readable(const boost::system::error_code& error);
    void parse();
    void parse_buffer();
    void on_head();
    void on_whole();
    void reject(status code);
    void set_deadline(std::chrono::milliseconds delay);
    void on_deadline();
    void on_peer_closed();

    void send_head(response_head& head);
    void send(std::string_view bytes);
    void flush();
    void answer_ended(bool keep);
    void end_writing();

    socket_type socket_;
    timer_queue& timers_;
    limits_source limits_source_;
    server_limits limits_;
    handler on_request_;
    std::shared_ptr<std::size_t> open_;
    /// Read and not yet parsed.
    std::string buffer_;
    std::optional<parser_type> parser_;
    std::optional<request_head> head_;
    std::shared_ptr<exchange> current_;
    std::string out_;
    std::string sending_;
    timer_queue::handle deadline_;
    base::time_point first_byte_{};
    bool reading_ = false;
    bool writing_ = false;
    bool keep_ = true;
    bool answered_ = false;
    bool ending_ = false;
    bool closed_ = false;
};

}  // namespace caraway::http
