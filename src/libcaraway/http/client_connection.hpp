#pragma once

#include "libcaraway/http/answer_parser.hpp"
#include "libcaraway/http/message.hpp"
#include "libcaraway/http/timer_queue.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>

namespace caraway::http
{

/// Why a call did not get a complete answer.
enum class call_failure
{
    not_connected,     ///< No connection could be opened; no byte of the request was sent.
    withheld,          ///< `opened` returned false; no byte of the request was sent.
    no_answer,         ///< The request was sent at least in part; no response head arrived.
    truncated_answer,  ///< The response head arrived, the rest did not.
};

/// Callbacks of a call. `opened` is called when a connection was opened for the call, and returns
/// whether to send the request on it. `head` is called once, then `body` any number of times, then
/// `end`. `failed` may be called at any point instead. No callback follows `end` or `failed`. Any
/// of them may be null, and any may close the connection. `may_read` is asked before each read of
/// an answer; while it returns false nothing is read, so that the server is slowed down.
struct call_events
{
    std::function<bool()> opened;
    std::function<void(const answer_head&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> end;
    std::function<void(call_failure)> failed;
    std::function<bool()> may_read;
};

/// Returns whether an answer belongs to the call in progress.
using answer_check = std::function<bool(const answer_head&)>;

struct connect_options
{
    std::chrono::milliseconds connect_timeout{300};
    /// TCP_USER_TIMEOUT: closes the connection if sent bytes stay unacknowledged for this long, as
    /// after a power loss of the remote machine. TCP by default retransmits for 15 minutes.
    std::chrono::milliseconds unacknowledged_timeout{4000};
};

/// A persistent HTTP/1.1 connection to an upstream, the store or a peer; one call at a time.
///
/// An answer that doesn't belong to the call in progress is skipped entirely: an upstream may send
/// a late duplicate answer to an earlier call in place of the next answer, and accepting it would
/// deliver one caller's answer to another. Bytes received between calls close the connection, and
/// so do a malformed head, a line of it that continues another (RFC 9112, 5.2), a status that there
/// is none of, a transfer coding other than chunks and more skipped answers than a sound server
/// sends.
///
/// An answer without a length ends with its connection. It ends only once the request is written:
/// a server that answers early and reads on is waited for, one that resets has not answered.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(boost::asio::io_context& loop, timer_queue& timers,
                      connect_options options = {});

    /// Sends `request`, a complete serialized message but for `body`, and connects to `to` first if
    /// the connection isn't open. `head_only` is set for HEAD requests, whose answers have no body.
    /// A null `belongs` accepts any answer. Only while no call is in progress.
    void call(const routing::endpoint& to, std::string request, bool head_only, call_events events,
              answer_check belongs = nullptr, std::shared_ptr<const std::string> body = nullptr);
    /// Closes the connection and cancels the call in progress, if any, without calling its events.
    void close();
    /// Reads no more bytes of the answer for this time, so that those that arrive meanwhile are
    /// read at once. Only within `body`; ends with the call.
    void pause_reading(base::duration pause)
    {
        pause_ = pause;
    }

    /// Whether the last attempt to connect was refused: nobody listens at the address.
    bool was_refused() const
    {
        return refused_;
    }
    /// Whether the connection is open and no call is in progress.
    bool is_reusable() const;
    /// When the last call completed.
    base::time_point idle_since() const
    {
        return idle_since_;
    }
    /// When the server closes the idle connection, by the Keep-Alive field of its last answer;
    /// empty if the answer had no `timeout` parameter.
    std::optional<base::time_point> keep_alive_until() const
    {
        return keep_alive_until_;
    }

private:
    /// How far the request of the call in progress has been written.
    enum class write_progress
    {
        not_started,
        in_progress,
        completed,
        failed,
    };

    using tcp = boost::asio::ip::tcp;

    void connect(const routing::endpoint& to);
    void set_socket_options();
    void write();
    void read();
    void read_after(base::duration pause);
    bool may_read() const;
    /// Received bytes that haven't been parsed.
    std::size_t unparsed_bytes() const
    {
        return buffer_.size() - parsed_;
    }
    void on_readable(const boost::system::error_code& error);
    void parse();
    void start_parser();
    void process_head();
    void deliver_body();
    void complete();
    void on_write_over();
    void on_end_of_stream(const boost::system::error_code& error);
    void end_with_stream();
    void fail();
    void fail(call_failure failure);

    tcp::socket socket_;
    timer_queue& timers_;
    connect_options options_;
    timer_queue::handle connect_deadline_;
    /// Received bytes; those from `parsed_` on have not been parsed.
    std::string buffer_;
    std::size_t parsed_ = 0;
    std::optional<answer_parser> parser_;
    std::string request_;
    std::shared_ptr<const std::string> body_;
    /// Shared, as a callback may end the call whose events these are.
    std::shared_ptr<call_events> events_;
    answer_check belongs_;
    base::time_point idle_since_{};
    std::optional<base::time_point> keep_alive_until_;
    /// Before the next read; 0 for none.
    base::duration pause_{};
    write_progress write_progress_ = write_progress::not_started;
    bool head_only_ = false;
    bool call_in_progress_ = false;
    bool open_ = false;
    bool closed_ = false;
    bool refused_ = false;
    /// The server has ended its bytes, and with them an answer without a length.
    bool stream_ended_ = false;
    int skipped_answers_ = 0;
    bool head_seen_ = false;
    bool skipping_ = false;
    bool read_pending_ = false;
};

}  // namespace caraway::http
