// How the bytes of a connection become answers, and where an answer ends.
#include "libcaraway/http/client_connection.hpp"

#include "libcaraway/http/transfer_coding.hpp"

#include <charconv>
#include <limits>
#include <utility>

namespace caraway::http
{

namespace
{

namespace beast_http = boost::beast::http;

/// Bytes. Larger than any request head a caller may send, as answers may echo the request's fields.
constexpr std::uint32_t max_head_bytes = 65536;

/// Interim answers, and answers to other requests, that are skipped in one call. A sound server
/// sends one or two.
constexpr int max_skipped_answers = 16;

/// Returns the value of the "timeout=N" parameter of the Keep-Alive field; empty if it is missing
/// or malformed.
std::optional<std::chrono::seconds> parse_keep_alive_timeout(const answer_head& head)
{
    const auto text = head[field::keep_alive];
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    int seconds = 0;
    const auto* begin = text.data() + at + name.size();
    const auto [end, error] = std::from_chars(begin, text.data() + text.size(), seconds);
    if (error != std::errc{} || end == begin)
    {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

/// Whether an answer may have this status (RFC 9110, 15). No call asks for another protocol.
bool is_possible_status(unsigned status)
{
    constexpr unsigned switching_protocols = 101;
    return status >= 100 && status <= 599 && status != switching_protocols;
}

/// Whether a line of the head at the beginning of `bytes` begins with a blank and so continues the
/// line before it (RFC 9112, 5.2). The parser would append it to that line's value. It takes a line
/// only with the first byte behind it, so that each is seen here before. An empty line ends a head.
bool has_continued_line(std::string_view bytes)
{
    for (auto end = bytes.find('\n'); end < bytes.size() - 1; end = bytes.find('\n', end + 1))
    {
        const char next = bytes[end + 1];
        if (next == ' ' || next == '\t')
        {
            return true;
        }
        if (next == '\r')
        {
            return false;
        }
    }
    return false;
}

}  // namespace

void client_connection::parse()
{
    while (call_in_progress_ && unparsed_bytes() > 0)
    {
        if (!head_seen_ && has_continued_line(std::string_view(buffer_).substr(parsed_)))
        {
            fail();
            return;
        }
        boost::system::error_code error;
        const auto bytes_parsed = parser_->put(boost::asio::buffer(buffer_) + parsed_, error);
        parsed_ += bytes_parsed;
        if (error && error != beast_http::error::need_more)
        {
            fail();
            return;
        }
        if (parser_->is_header_done() && !head_seen_)
        {
            process_head();
        }
        if (call_in_progress_ && head_seen_)
        {
            deliver_body();
        }
        if (call_in_progress_ && parser_->is_done())
        {
            complete();
            continue;
        }
        if (error || bytes_parsed == 0)
        {
            return;
        }
    }
}

void client_connection::start_parser()
{
    parser_.emplace();
    parser_->header_limit(max_head_bytes);
    // Boost 1.74 refuses every body with a length if there is no limit.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->eager(true);
    parser_->skip(head_only_);
    head_seen_ = false;
    skipping_ = false;
}

void client_connection::process_head()
{
    head_seen_ = true;
    const auto& head = parser_->head();
    const bool interim = head.result_int() < 200;
    const bool possible =
        is_possible_status(head.result_int()) && has_known_coding(head, head.version());
    skipping_ = interim || !possible || (belongs_ && !belongs_(head));
    skipped_answers_ += skipping_ ? 1 : 0;
    if (!possible || skipped_answers_ > max_skipped_answers)
    {
        fail();
        return;
    }
    const auto events = events_;
    if (!skipping_ && events->head)
    {
        events->head(head);
    }
}

void client_connection::deliver_body()
{
    auto& body = parser_->body();
    if (body.empty())
    {
        return;
    }
    std::string part;
    part.swap(body);
    const auto events = events_;
    if (!skipping_ && events->body)
    {
        events->body(part);
    }
}

void client_connection::complete()
{
    if (skipping_)
    {
        start_parser();
        return;
    }
    const auto& head = parser_->head();
    const bool reusable = parser_->keep_alive() && !parser_->need_eof() &&
                          write_progress_ == write_progress::completed;
    const auto seconds = parse_keep_alive_timeout(head);
    call_in_progress_ = false;
    pause_ = {};
    if (write_progress_ == write_progress::completed)
    {
        std::string().swap(request_);
        body_.reset();
    }
    idle_since_ = timers_.now();
    keep_alive_until_ = seconds ? std::optional(idle_since_ + *seconds) : std::nullopt;
    const auto events = std::move(events_);
    // Bytes after a complete answer belong to no call.
    if (!reusable || unparsed_bytes() > 0)
    {
        close();
    }
    if (events->end)
    {
        events->end();
    }
    if (!call_in_progress_)
    {
        // Frees the answer's head.
        parser_.reset();
    }
}

void client_connection::on_end_of_stream(const boost::system::error_code& error)
{
    if (!call_in_progress_)
    {
        close();
        return;
    }
    if (error != boost::asio::error::eof || !head_seen_ || skipping_ || !parser_->need_eof())
    {
        fail();
        return;
    }
    stream_ended_ = true;
    // A reset is told to the first operation that meets it. If that was the write, the end of the
    // stream looks orderly here, so what becomes of a write in progress is waited for.
    if (write_progress_ != write_progress::in_progress)
    {
        end_with_stream();
    }
}

/// An answer without a length is complete at an orderly close, but not after a reset.
void client_connection::end_with_stream()
{
    if (write_progress_ == write_progress::failed)
    {
        fail();
        return;
    }
    boost::system::error_code unfinished;
    parser_->put_eof(unfinished);
    if (unfinished || !parser_->is_done())
    {
        fail();
        return;
    }
    deliver_body();
    complete();
}

}  // namespace caraway::http
