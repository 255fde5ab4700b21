#pragma once

#include "libcaraway/http/door.hpp"
#include "libcaraway/http/memory_budget.hpp"
#include "libcaraway/http/message.hpp"
#include "libcaraway/http/output_queue.hpp"
#include "libcaraway/http/request_parser.hpp"
#include "libcaraway/http/timer_queue.hpp"

#include <boost/asio/ip/tcp.hpp>
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
    /// Whether the bodies of requests are kept; else they are read and dropped.
    bool keeps_body = true;
    /// Counts what connections hold; null: it isn't counted. The same for all requests.
    std::shared_ptr<memory_budget> memory{};
};

/// A request and the answer to it. An answer started with `begin` is completed only by `finish`;
/// otherwise the connection is closed. Calls after the end of the answer have no effect.
class exchange
{
public:
    exchange(std::shared_ptr<server_connection> connection, request_head head,
             std::shared_ptr<const std::string> body, base::time_point arrived);

    const request_head& head() const
    {
        return head_;
    }
    const std::string& body() const
    {
        return *body_;
    }
    std::shared_ptr<const std::string> shared_body() const
    {
        return body_;
    }
    /// When the first byte of the request was read.
    base::time_point arrived() const
    {
        return arrived_;
    }

    /// Sends a complete answer with a Content-Length; 503 instead if there is no room for a large
    /// body. For answers of the process itself.
    void respond(response_head head, std::string_view body);
    /// Sends a complete answer whose memory is counted already, by `held`.
    void respond(response_head head, std::string&& body, memory_hold held);
    /// Starts an answer of unknown length: chunked, or for HTTP/1.0 callers ended by closing the
    /// connection.
    void begin(response_head head);
    void write(std::string_view chunk);
    /// Whether the caller has read so much of the answer that more should be written.
    bool has_room() const;
    /// Counts bytes that the request's owner holds for it.
    void set_owner_memory(std::size_t bytes);
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
    std::size_t memory() const
    {
        return head_.memory() + body_->capacity() + owner_memory_;
    }

    std::shared_ptr<server_connection> connection_;
    request_head head_;
    std::shared_ptr<const std::string> body_;
    std::size_t owner_memory_ = 0;
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
    /// Whether the connection was opened less than `period` ago and no request has been answered.
    bool is_new(std::chrono::milliseconds period) const
    {
        return !answered_ && timers_.now() - opened_ < period;
    }
    /// Refuses a request of which only a part has arrived: 503, as it has not run.
    void refuse_incomplete();
    /// Closes the connection immediately. No request is delivered and no byte sent afterwards.
    void close();
    /// Whether a request is in progress or its answer has not been completely passed to the kernel.
    /// A process that exits before then truncates the answer.
    bool is_request_active() const
    {
        return !closed_ && (current_ != nullptr || !output_.empty());
    }
    /// Closes the connection if its caller withholds the rest of a request, or doesn't read its
    /// answer, or does so at less than a minimal rate. While memory is scarce; `of_any_size`: also
    /// if it holds little.
    void close_if_slow(bool of_any_size);

private:
    friend class exchange;

    void begin_request();
    void read();
    /// Whether nothing is read for now though the caller may have sent more.
    bool is_reading_paused() const;
    void on_readable(const boost::system::error_code& error);
    void parse();
    /// Whether the next bytes may be parsed: no request is being answered, no answer owed.
    bool may_parse() const;
    /// Asks the door about the first bytes of the connection. Returns whether they were refused.
    bool refuse_at_door();
    void parse_buffer();
    /// Goes on with `parse` after the event loop has handled other connections.
    void parse_later();
    void on_head();
    void on_expected_body();
    void on_request_complete();

    /// What the connection holds of requests, in bytes.
    std::size_t request_memory() const;
    /// Counts that; false if there is no room for it.
    bool count_request();
    /// Counts that though there may be no room, as it is held already.
    void recount();
    void wait_for_room();
    void check_room();
    void go_on_with_body();
    void refuse_for_lack_of_room();

    void reject(status code, std::string_view retry_after = {});
    void set_deadline(std::chrono::milliseconds delay);
    void on_deadline();
    void on_peer_closed();

    void send_head(response_head& head);
    void send(std::string_view bytes);
    void send(std::string&& bytes);
    /// Whether there is room for an answer of the process itself; counts a refusal if not.
    bool has_room_for_answer(std::size_t bytes);
    /// Whether more of the answer should be written.
    bool has_room_for_output() const;
    void before_sending();
    void flush();
    void write_output();
    void wait_until_writable();
    void on_answer_ended(bool keep);
    /// The kernel has taken all bytes of answers.
    void on_output_taken();
    void finish_closing();
    /// Closes the connection in a way that shows the caller that an answer is incomplete.
    void give_up_caller();
    void begin_period();

    socket_type socket_;
    timer_queue& timers_;
    limits_source limits_source_;
    server_limits limits_;
    handler on_request_;
    std::shared_ptr<std::size_t> open_;
    /// Null once the door has been asked.
    const door* door_;
    /// Received bytes; those from `parsed_` on have not been parsed.
    std::string buffer_;
    std::size_t parsed_ = 0;
    std::optional<request_parser> parser_;
    std::shared_ptr<exchange> current_;
    output_queue output_;
    memory_hold request_hold_;
    memory_hold answer_hold_;
    /// Length of the body that room was found for.
    std::size_t expected_body_ = 0;
    timer_queue::handle deadline_;
    base::time_point opened_{};
    base::time_point first_byte_time_{};
    base::time_point room_deadline_{};
    /// When the kernel last took bytes of an answer.
    base::time_point last_taken_{};
    /// Bytes read and taken since then, while the connection had to go on.
    base::time_point period_begin_{};
    std::size_t moved_ = 0;
    bool read_pending_ = false;
    bool write_pending_ = false;
    bool write_failed_ = false;
    bool parsing_ = false;
    bool parse_scheduled_ = false;
    bool head_seen_ = false;
    bool waits_for_room_ = false;
    /// The next request begins when the answer has been taken.
    bool answer_owed_ = false;
    bool keep_alive_ = true;
    bool answered_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

}  // namespace caraway::http
