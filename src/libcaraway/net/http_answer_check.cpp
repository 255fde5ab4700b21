#include "libcaraway/net/http_answer_check.hpp"

#include "libcaraway/net/http_syntax.hpp"

#include <QNetworkReply>

#include <charconv>

namespace caraway::net
{

namespace
{

constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int first_error_status = 400;

/// Whether the error only repeats an error status, and says nothing of the transport.
bool follows_from_status(QNetworkReply::NetworkError error, int status)
{
    constexpr int proxy_authentication_required = 407;
    if (status == proxy_authentication_required)
    {
        return error == QNetworkReply::ProxyAuthenticationRequiredError;
    }
    return status >= first_error_status && error >= QNetworkReply::ContentAccessDenied &&
           error != QNetworkReply::ContentReSendError && error != QNetworkReply::ProtocolFailure;
}

bool is_framed(const received_answer& answer)
{
    const auto coding = find_header(answer.headers, "transfer-encoding");
    const auto length = find_header(answer.headers, "content-length");
    if (answer.status == no_content || answer.status == not_modified)
    {
        return true;
    }
    if (coding)
    {
        return equal_ignoring_case(*coding, "chunked") && !length;
    }
    return announced_length(answer).has_value();
}

base::error unknown(const std::string& upstream, const std::string& message)
{
    return base::make_error(base::errc::unknown_effect, upstream + ": " + message);
}

}  // namespace

std::vector<http_header> headers_of(const QNetworkReply& reply)
{
    std::vector<http_header> headers;
    for (const auto& [name, value] : reply.rawHeaderPairs())
    {
        // Qt joins fields that may not be joined by commas (Set-Cookie) with line feeds.
        for (const QByteArray& part : value.split('\n'))
        {
            headers.push_back({name.toStdString(), part.toStdString()});
        }
    }
    return headers;
}

std::optional<std::uint64_t> announced_length(const received_answer& answer)
{
    const auto text = find_header(answer.headers, "content-length");
    std::uint64_t length = 0;
    if (!text || !is_digits(*text) || answer.status == not_modified)
    {
        return std::nullopt;
    }
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), length);
    return parsed.ec == std::errc() ? std::optional(length) : std::nullopt;
}

base::error judge_head(const received_answer& answer, bool has_body, const std::string& upstream)
{
    if (answer.status < first_final_status || answer.status > last_status)
    {
        return unknown(upstream, "the answer's status is " + std::to_string(answer.status) +
                                     ", a final one is from " + std::to_string(first_final_status) +
                                     " to " + std::to_string(last_status));
    }
    if (has_body && !is_framed(answer))
    {
        return unknown(upstream,
                       "the answer has neither length nor chunks, so its end can't be told");
    }
    return {};
}

base::error judge(const QNetworkReply& reply, const received_answer& answer,
                  const std::string& upstream)
{
    const auto error = reply.error();
    if (error == QNetworkReply::ConnectionRefusedError)
    {
        return base::make_error(base::errc::unavailable, upstream + " refused a connection");
    }
    if (answer.status == 0)
    {
        return unknown(upstream, "no answer: " + reply.errorString().toStdString());
    }
    if (const auto length = announced_length(answer))
    {
        // The length decides, whatever Qt says: it also calls a whole 307 failed, as it would like
        // to send the body again.
        return *length == answer.received
                   ? base::error{}
                   : unknown(upstream, "the answer is shorter than its Content-Length");
    }
    if (error != QNetworkReply::NoError && !follows_from_status(error, answer.status))
    {
        return unknown(upstream, "the answer was cut: " + reply.errorString().toStdString());
    }
    return {};
}

}  // namespace caraway::net
