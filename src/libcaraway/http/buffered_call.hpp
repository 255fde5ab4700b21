#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/http/client_connection.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace caraway::http
{

/// A complete answer.
struct buffered_answer
{
    unsigned status = 0;
    std::string body;
};

/// HTTP client with one persistent connection and one call at a time, for the platform's store and
/// for peers. Collects each answer completely before delivering it.
class buffered_caller
{
public:
    using done = std::function<void(base::result<buffered_answer>)>;

    buffered_caller(boost::asio::io_context& loop, timer_queue& timers);
    ~buffered_caller();

    /// Errors passed to `action`: errc::unavailable if nothing was sent; errc::unknown_effect if
    /// the connection failed later, the answer's body has more than 8 MB or no complete answer
    /// arrived within `timeout`. Only while not busy.
    void call(const routing::endpoint& to, std::string request, std::chrono::milliseconds timeout,
              done action);
    /// Whether a call is in progress.
    bool busy() const
    {
        return done_ != nullptr;
    }

private:
    void take(std::string_view part);
    void finish(base::result<buffered_answer> result);

    boost::asio::io_context& loop_;
    timer_queue& timers_;
    std::shared_ptr<client_connection> connection_;
    routing::endpoint to_;
    timer_queue::handle deadline_;
    buffered_answer answer_;
    done done_;
};

/// Returns the message as it is sent on the connection.
std::string serialize(boost::beast::http::request<boost::beast::http::string_body>& message);

/// Returns a serialized GET request without a body.
std::string get_request(const routing::endpoint& to, const std::string& target);
/// Returns a serialized request; a non-empty `body` is sent as application/json.
std::string body_request(std::string_view method, const routing::endpoint& to,
                         const std::string& target, std::string_view body);

}  // namespace caraway::http
