#pragma once

#include <QByteArray>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caraway::net
{

/// One header field; names compare without regard to case.
struct http_header
{
    std::string name{};
    std::string value{};

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// The value of the first field of that name, if there is one.
std::optional<std::string> find_header(const std::vector<http_header>& headers,
                                       std::string_view name);

/// The time for which an upstream that answers 503 wants no more requests: the seconds of its
/// Retry-After field (RFC 9110, 10.2.3). Nothing for other answers, a date or a malformed value.
std::optional<std::chrono::milliseconds> requested_rest(int status,
                                                        const std::vector<http_header>& headers);

/// A whole request as a caller sent it, its body decoded from chunks where it came in chunks.
struct http_request
{
    std::string method{};
    /// As on the request line, path and query, not decoded.
    std::string target{};
    /// The target up to the question mark, not decoded.
    std::string path{};
    /// The target after the question mark, not decoded.
    std::string query{};
    std::vector<http_header> headers{};
    QByteArray body{};
    /// The caller's address, without port.
    std::string peer{};

    /// The value of the first field of that name, if there is one.
    std::optional<std::string> header(std::string_view name) const;
};

/// An answer given in one piece. Content-Length and Connection are added on sending and must not
/// be among the headers.
struct http_response
{
    int status = 200;
    std::vector<http_header> headers{};
    QByteArray body{};
};

/// The answer to what can't be served: JSON `{"error": {"code": ..., "message": ...}}`.
http_response error_response(int status, std::string_view code, std::string_view message);

}  // namespace caraway::net
