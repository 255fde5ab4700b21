#include "libcaraway/http/buffered_call.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

namespace caraway::http
{

namespace
{

namespace beast_http = boost::beast::http;

/// Bytes; the store's answers have at most 1 MB.
constexpr std::size_t max_body_bytes = 8U << 20U;

}  // namespace

buffered_caller::buffered_caller(boost::asio::io_context& loop, timer_queue& timers)
    : loop_(loop), timers_(timers)
{
}

buffered_caller::~buffered_caller()
{
    timers_.cancel(deadline_);
    if (connection_)
    {
        connection_->close();
    }
}

void buffered_caller::call(const routing::endpoint& to, std::string request,
                           std::chrono::milliseconds timeout, done action)
{
    done_ = std::move(action);
    answer_ = {};
    if (!connection_ || !connection_->is_reusable() || !(to == to_))
    {
        if (connection_)
        {
            connection_->close();
        }
        connection_ = std::make_shared<client_connection>(loop_, timers_);
    }
    to_ = to;
    deadline_ = timers_.after(
        timeout,
        [this]
        {
            connection_->close();
            finish(base::make_error(base::errc::unknown_effect,
                                    "No complete answer was received within the time-out."));
        });
    connection_->call(
        to, std::move(request), false,
        {.head = [this](const answer_head& head) { answer_.status = head.result_int(); },
         .body = [this](std::string_view part) { take(part); },
         .end = [this] { finish(std::move(answer_)); },
         .failed =
             [this](call_failure failure)
         {
             const auto code = failure == call_failure::not_connected ? base::errc::unavailable
                                                                      : base::errc::unknown_effect;
             finish(base::make_error(
                 code, "The connection ended before a complete answer was received."));
         }});
}

void buffered_caller::take(std::string_view part)
{
    if (answer_.body.size() + part.size() <= max_body_bytes)
    {
        answer_.body += part;
        return;
    }
    connection_->close();
    finish(base::make_error(base::errc::unknown_effect, "The answer's body has more than " +
                                                            std::to_string(max_body_bytes) +
                                                            " bytes."));
}

void buffered_caller::finish(base::result<buffered_answer> result)
{
    timers_.cancel(deadline_);
    const auto action = std::move(done_);
    done_ = nullptr;
    if (action)
    {
        action(std::move(result));
    }
}

std::string get_request(const routing::endpoint& to, const std::string& target)
{
    return body_request("GET", to, target, {});
}

std::string body_request(std::string_view method, const routing::endpoint& to,
                         const std::string& target, std::string_view body)
{
    beast_http::request<beast_http::string_body> message;
    message.version(11);
    message.method_string({method.data(), method.size()});
    message.target(target);
    message.set(field::host, to.ip + ":" + std::to_string(to.port));
    message.body() = std::string(body);
    if (!body.empty())
    {
        message.set(field::content_type, "application/json");
        message.content_length(body.size());
    }
    return serialize(message);
}

std::string serialize(beast_http::request<beast_http::string_body>& message)
{
    std::string out;
    beast_http::request_serializer<beast_http::string_body> serializer{message};
    boost::system::error_code error;
    while (!error && !serializer.is_done())
    {
        serializer.next(error,
                        [&](const auto& unused, const auto& buffers)
                        {
                            boost::ignore_unused(unused);
                            out += boost::beast::buffers_to_string(buffers);
                            serializer.consume(boost::beast::buffer_bytes(buffers));
                        });
    }
    return out;
}

}  // namespace caraway::http
