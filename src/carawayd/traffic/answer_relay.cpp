#include "carawayd/traffic/answer_relay.hpp"

#include "carawayd/traffic/call_plan.hpp"
#include "libcaraway/net/http_exchange.hpp"

#include <string>
#include <utility>

namespace carawayd::traffic
{

using caraway::net::http_header;

namespace
{

/// Answers up to this size are held until they are whole.
constexpr qsizetype largest_held_answer = 8 << 20;
constexpr int status_ok = 200;

}  // namespace

answer_relay::answer_relay(std::shared_ptr<caraway::net::http_exchange> exchange,
                           caraway::base::request_id request)
    : exchange_(std::move(exchange)), request_(std::move(request))
{
}

void answer_relay::begin_attempt()
{
    events_.resume();
    body_.clear();
    headers_.clear();
    status_ = 0;
}

void answer_relay::take_head(int status, std::vector<http_header> headers)
{
    status_ = status;
    headers_ = std::move(headers);
}

std::uint32_t answer_relay::take_data(const QByteArray& bytes)
{
    if (is_event_stream())
    {
        const stream_piece piece = events_.feed(bytes);
        if (!piece.events.isEmpty())
        {
            begin_stream();
            passing_events_ = true;
            exchange_->write(piece.events);
            passed_on_ += static_cast<std::uint64_t>(piece.events.size());
        }
        return piece.tokens;
    }
    if (!streaming_)
    {
        body_ += bytes;
        if (body_.size() <= largest_held_answer)
        {
            return 0;
        }
        begin_stream();
        exchange_->write(std::exchange(body_, {}));
        passed_on_ += largest_held_answer;
        return 0;
    }
    exchange_->write(bytes);
    passed_on_ += static_cast<std::uint64_t>(bytes.size());
    return 0;
}

bool answer_relay::whole() const
{
    return !is_event_stream() || events_.ended();
}

void answer_relay::deliver()
{
    if (streaming_)
    {
        exchange_->end_stream();
        return;
    }
    exchange_->respond({.status = status_, .headers = caller_headers(), .body = body_});
}

void answer_relay::refuse(const caraway::attempts::caller_error& error)
{
    std::vector<http_header> headers{{"Content-Type", "application/json"},
                                     {"X-Request-Id", request_.str()}};
    if (const auto retry_after = caraway::attempts::retry_after_header(error))
    {
        headers.push_back({"Retry-After", *retry_after});
    }
    exchange_->respond(
        {.status = caraway::attempts::http_status(error.code),
         .headers = std::move(headers),
         .body = QByteArray::fromStdString(caraway::attempts::to_json(error, request_))});
}

void answer_relay::replay(const caraway::attempts::replay& recorded)
{
    std::vector<http_header> headers{{"X-Request-Id", request_.str()},
                                     {"Idempotent-Replayed", "true"}};
    if (!recorded.content_type.empty())
    {
        headers.push_back({"Content-Type", recorded.content_type});
    }
    exchange_->respond({.status = recorded.status,
                        .headers = std::move(headers),
                        .body = QByteArray::fromStdString(recorded.body)});
}

void answer_relay::break_off()
{
    exchange_->abort();
}

int answer_relay::status() const
{
    return status_;
}

std::uint64_t answer_relay::bytes_passed_on() const
{
    return passed_on_;
}

std::optional<std::uint64_t> answer_relay::tokens_passed_on() const
{
    if (!passing_events_)
    {
        return std::nullopt;
    }
    return events_.tokens();
}

caraway::attempts::once_answer answer_relay::recorded() const
{
    return {.status = static_cast<std::uint16_t>(status_),
            .content_type = caraway::net::find_header(headers_, "Content-Type").value_or(""),
            .body = body_.toStdString()};
}

const QByteArray& answer_relay::body() const
{
    return body_;
}

bool answer_relay::is_event_stream() const
{
    const auto type = caraway::net::find_header(headers_, "Content-Type");
    return status_ == status_ok && type && type->rfind("text/event-stream", 0) == 0;
}

void answer_relay::begin_stream()
{
    if (streaming_)
    {
        return;
    }
    streaming_ = true;
    exchange_->begin_stream(status_, caller_headers());
}

std::vector<http_header> answer_relay::caller_headers() const
{
    std::vector<http_header> kept;
    for (const http_header& header : headers_)
    {
        if (!is_hop_by_hop(header.name) && header.name != "X-Request-Id")
        {
            kept.push_back(header);
        }
    }
    kept.push_back({"X-Request-Id", request_.str()});
    return kept;
}

}  // namespace carawayd::traffic
