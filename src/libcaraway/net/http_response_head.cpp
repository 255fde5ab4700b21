#include "libcaraway/net/http_response_head.hpp"

#include "libcaraway/net/http_syntax.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

namespace caraway::net
{

namespace
{

constexpr int no_content = 204;
constexpr int not_modified = 304;

std::string_view reason_phrase(int status)
{
    using entry = std::pair<int, std::string_view>;
    static constexpr std::array phrases{
        entry{100, "Continue"},
        entry{200, "OK"},
        entry{201, "Created"},
        entry{202, "Accepted"},
        entry{204, "No Content"},
        entry{206, "Partial Content"},
        entry{301, "Moved Permanently"},
        entry{302, "Found"},
        entry{303, "See Other"},
        entry{304, "Not Modified"},
        entry{307, "Temporary Redirect"},
        entry{308, "Permanent Redirect"},
        entry{400, "Bad Request"},
        entry{401, "Unauthorized"},
        entry{403, "Forbidden"},
        entry{404, "Not Found"},
        entry{405, "Method Not Allowed"},
        entry{408, "Request Timeout"},
        entry{409, "Conflict"},
        entry{410, "Gone"},
        entry{413, "Content Too Large"},
        entry{417, "Expectation Failed"},
        entry{422, "Unprocessable Content"},
        entry{425, "Too Early"},
        entry{429, "Too Many Requests"},
        entry{431, "Request Header Fields Too Large"},
        entry{500, "Internal Server Error"},
        entry{501, "Not Implemented"},
        entry{502, "Bad Gateway"},
        entry{503, "Service Unavailable"},
        entry{504, "Gateway Timeout"},
        entry{505, "HTTP Version Not Supported"},
    };
    const auto found = std::find_if(phrases.begin(), phrases.end(),
                                    [&](const entry& e) { return e.first == status; });
    return found == phrases.end() ? std::string_view("Other") : found->second;
}

bool is_framing_field(std::string_view name)
{
    static constexpr std::array names{"connection", "keep-alive", "transfer-encoding",
                                      "content-length"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view own) { return equal_ignoring_case(name, own); });
}

bool is_sendable(const http_header& header)
{
    return is_token(header.name) &&
           std::none_of(header.value.begin(), header.value.end(), is_control);
}

void append_field(QByteArray& head, std::string_view name, std::string_view value)
{
    head.append(name.data(), static_cast<qsizetype>(name.size()));
    head.append(": ");
    head.append(value.data(), static_cast<qsizetype>(value.size()));
    head.append("\r\n");
}

void append_framing(QByteArray& head, int status, const std::vector<http_header>& headers,
                    const answer_form& form, std::optional<std::size_t> length)
{
    const auto given = find_header(headers, "content-length");
    if (form.is_head && given && is_digits(*given))
    {
        append_field(head, "Content-Length", *given);
    }
    else if (status == no_content || (status == not_modified && length.value_or(0) == 0))
    {
        // Such an answer ends with its header.
    }
    else if (length)
    {
        append_field(head, "Content-Length", std::to_string(*length));
    }
    else if (!form.is_http_1_0)
    {
        append_field(head, "Transfer-Encoding", "chunked");
    }
    if (!form.keep_alive)
    {
        append_field(head, "Connection", "close");
    }
    else if (form.is_http_1_0)
    {
        append_field(head, "Connection", "keep-alive");
    }
}

}  // namespace

bool has_no_body(int status)
{
    return status == no_content || status == not_modified;
}

QByteArray response_head(int status, const std::vector<http_header>& headers,
                         const answer_form& form, std::optional<std::size_t> length)
{
    constexpr qsizetype usual_size = 512;
    QByteArray head;
    head.reserve(usual_size);
    const std::string_view reason = reason_phrase(status);
    head.append("HTTP/1.1 ").append(QByteArray::number(status)).append(' ');
    head.append(reason.data(), static_cast<qsizetype>(reason.size())).append("\r\n");
    for (const http_header& header : headers)
    {
        if (!is_framing_field(header.name) && is_sendable(header))
        {
            append_field(head, header.name, header.value);
        }
    }
    append_framing(head, status, headers, form, length);
    head.append("\r\n");
    return head;
}

}  // namespace caraway::net
