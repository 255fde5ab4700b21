#include "libcaraway/net/http_message.hpp"

#include "libcaraway/net/http_syntax.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <charconv>

namespace caraway::net
{

namespace
{

constexpr int service_unavailable = 503;
/// Longest accepted rest; protects arithmetic on times.
constexpr std::chrono::hours max_rest{24};

QString to_qstring(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace

std::optional<std::string> find_header(const std::vector<http_header>& headers,
                                       std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const http_header& header)
                                    { return equal_ignoring_case(header.name, name); });
    if (found == headers.end())
    {
        return std::nullopt;
    }
    return found->value;
}

std::optional<std::chrono::milliseconds> requested_rest(int status,
                                                        const std::vector<http_header>& headers)
{
    const auto value = find_header(headers, "Retry-After");
    if (status != service_unavailable || !value)
    {
        return std::nullopt;
    }
    std::uint32_t seconds = 0;
    const auto* last = value->data() + value->size();
    const auto [end, error] = std::from_chars(value->data(), last, seconds);
    if (error != std::errc{} || end != last || seconds == 0)
    {
        return std::nullopt;
    }
    return std::min<std::chrono::milliseconds>(std::chrono::seconds(seconds), max_rest);
}

std::optional<std::string> http_request::header(std::string_view name) const
{
    return find_header(headers, name);
}

http_response error_response(int status, std::string_view code, std::string_view message)
{
    const QJsonObject error{{"code", to_qstring(code)}, {"message", to_qstring(message)}};
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = QJsonDocument(QJsonObject{{"error", error}}).toJson(QJsonDocument::Compact)};
}

}  // namespace caraway::net
