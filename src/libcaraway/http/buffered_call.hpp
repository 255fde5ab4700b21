#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/http/client_connection.hpp"

namespace caraway::http
{

/// A whole answer.
struct buffered_answer
{
    unsigned status = 0;
    std::string body;
};

/// Calls one server, one call at a time, on a connection that is kept: the platform's store, a
/// peer. Answers are taken whole.
class buffered_caller
{
public:
    using done = std::function<void(base::result<buffered_answer>)>;

    buffered_caller(boost::asio::io_context& loop, timer_queue& timers);
    ~buffered_caller();

    /// Ends with errc::unavailable if nothing was sent, errc::unknown_effect if no whole answer
    /// came in `timeout`. Only while not busy.
    void call(const routing::endpoint& to, std::string request, std::chrono::milliseconds timeout,
              done action);
    bool busy() const
    {
        return done_ != nullptr;
    }

private:
    void finish(base::result<buffered_answer> result);

    boost::asio::io_context& loop_;
    timer_queue& timers_;
    std::shared_ptr<client_connection> connection_;
    routing::endpoint to_;
    timer_queue::handle deadline_;
    buffered_answer answer_;
    done done_;
};

/// The bytes of a whole message.
std::string serialize(boost::beast::http::request<boost::beast::http::string_body>& message);

/// A request without a body.
std::string get_request(const routing::endpoint& to, const std::string& target);
std::string body_request(std::string_view method, const routing::endpoint& to,
                         const std::string& target, std::string_view body);

}  // namespace caraway::http
