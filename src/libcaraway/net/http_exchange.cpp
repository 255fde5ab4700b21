#include "libcaraway/net/http_exchange.hpp"

#include "libcaraway/net/http_connection.hpp"

#include <utility>

namespace caraway::net
{

http_exchange::http_exchange(http_request request, http_connection& connection)
    : request_(std::move(request)), connection_(&connection)
{
}

std::shared_ptr<http_exchange> http_exchange::create(http_request request,
                                                     http_connection& connection)
{
    // The last pointer may be dropped in another thread, or by a slot of this very object.
    return {new http_exchange(std::move(request), connection), [](http_exchange* exchange)
            {
                exchange->deleteLater();
            }};
}

http_exchange::~http_exchange()
{
    if (connection_ != nullptr)
    {
        std::exchange(connection_, nullptr)->give_up(answered_);
    }
}

const http_request& http_exchange::request() const
{
    return request_;
}

void http_exchange::respond(const http_response& response)
{
    if (state_ != state::waiting)
    {
        return;
    }
    state_ = state::ended;
    answered_ = true;
    std::exchange(connection_, nullptr)->send_whole(response);
}

void http_exchange::begin_stream(int status, const std::vector<http_header>& headers)
{
    if (state_ != state::waiting)
    {
        return;
    }
    state_ = state::streaming;
    answered_ = true;
    connection_->send_head(status, headers);
}

void http_exchange::write(const QByteArray& data)
{
    if (state_ == state::streaming && !data.isEmpty())
    {
        connection_->send_piece(data);
    }
}

void http_exchange::end_stream()
{
    if (state_ != state::streaming)
    {
        return;
    }
    state_ = state::ended;
    std::exchange(connection_, nullptr)->send_end();
}

void http_exchange::abort()
{
    if (state_ == state::ended)
    {
        return;
    }
    state_ = state::ended;
    std::exchange(connection_, nullptr)->break_off();
}

std::size_t http_exchange::unsent_bytes() const
{
    return connection_ != nullptr ? connection_->unsent_bytes() : 0;
}

bool http_exchange::answered() const
{
    return answered_;
}

bool http_exchange::ended() const
{
    return state_ == state::ended;
}

void http_exchange::lose_caller()
{
    connection_ = nullptr;
    state_ = state::ended;
    Q_EMIT caller_gone();
}

}  // namespace caraway::net
