#pragma once

#include "libcaraway/http/message.hpp"
#include "libcaraway/http/timer_queue.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace caraway::http
{

/// Why a call got no whole answer.
enum class call_failure
{
    not_connected,  ///< Nothing was sent.
    no_answer,      ///< The request was sent, at least in part; no head of an answer came.
    cut_answer,     ///< The head came, the rest did not.
};

/// What a call tells its owner. `head` comes once, then any number of `body`, then `end`; or
/// `failed` at any moment. Nothing after `end` or `failed`.
struct call_events
{
    std::function<void(const response_head&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> end;
    std::function<void(call_failure)> failed;
};

/// Tells whether an answer belongs to the call that waits.
using answer_check = std::function<bool(const response_head&)>;

struct connect_options
{
    std::chrono::milliseconds connect_timeout{300};
    /// Unacknowledged bytes end the connection after this, as when the other machine lost power:
    /// TCP alone would go on for a quarter of an hour.
    std::chrono::milliseconds unacknowledged_timeout{4000};
};

/// A connection to an upstream, the store or a peer. One call at a time; kept open between calls.
///
/// An answer that isn't the waiting call's is skipped, whole: an upstream may send a second answer
/// to an earlier call, late, just where the next is due, and taking it would hand one caller
/// another's answer. Bytes that come while no call waits end the connection.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(boost::asio::io_context& loop, timer_queue& timers,
                      connect_options options = {});

    /// Connects if need be and sends. `request` is a whole message. Null `belongs` takes any
    /// answer.
    void call(const routing::endpoint& to, std::string request, bool head_only, call_events events,
              answer_check belongs = nullptr);
    /// Ends the call, if any, and the connection; no event follows.
    void close();

    /// No call is under way and another may be sent.
    bool is_reusable() const;
    base::time_point idle_since() const
    {
        return idle_since_;
    }
    /// Until when the other side said it keeps the connection; nothing if it didn't say.
    std::optional<base::time_point> keep_alive_until() const
    {
        return keep_alive_until_;
    }

private:
    using tcp = boost::asio::ip::tcp;
    using parser_type = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect(const routing::endpoint& to);
    void set_socket_options();
    void write();
    void read();
    void on_readable(const boost::system::error_code& error);
    void parse();
    void start_parser();
    void take_head();
    void pass_body();
    void complete();
    void on_end_of_stream(const boost::system::error_code& error);
    void fail();

    tcp::socket socket_;
    timer_queue& timers_;
    connect_options options_;
    timer_queue::handle connect_deadline_;
    /// Read and not yet parsed.
    std::string buffer_;
    std::optional<parser_type> parser_;
    std::string request_;
    /// Shared, as an event may end the call that it belongs to.
    std::shared_ptr<call_events> events_;
    answer_check belongs_;
    base::time_point idle_since_{};
    std::optional<base::time_point> keep_alive_until_;
    bool head_only_ = false;
    bool busy_ = false;
    bool open_ = false;
    bool closed_ = false;
    bool sent_ = false;
    bool written_ = false;
    bool head_seen_ = false;
    bool skipping_ = false;
    bool reading_ = false;
};

}  // namespace caraway::http
