#include "libcaraway/logging/line_format.hpp"

#include "libcaraway/logging/escape.hpp"

#include <QDateTime>
#include <QString>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace caraway::logging
{

namespace
{

constexpr qsizetype max_text_units = 512;
/// Reserved for the `truncated` field, the closing brace and the line terminator.
constexpr std::size_t reserved_bytes = 32;

QString bounded(std::string_view text)
{
    // A UTF-16 code unit corresponds to at most three bytes of valid UTF-8, so more bytes need not
    // be decoded.
    const auto leading_bytes = text.substr(0, max_text_units * 3 + 1);
    QString decoded =
        QString::fromUtf8(leading_bytes.data(), static_cast<qsizetype>(leading_bytes.size()));
    if (decoded.size() > max_text_units)
    {
        decoded.truncate(max_text_units);
        decoded += QChar(0x2026);
    }
    return decoded;
}

std::string quoted(std::string_view text)
{
    return '"' + escaped(bounded(text)) + '"';
}

bool is_bare(std::string_view text)
{
    return !text.empty() && text.size() <= max_text_units &&
           std::ranges::all_of(
               text,
               [](char c) { return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '='; });
}

template <class Number>
std::string number(Number value)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc{} ? std::string(buffer.data(), end) : std::string("0");
}

std::string value_text(const field::value_type& value, bool json)
{
    if (const auto* text = std::get_if<std::string>(&value))
    {
        return !json && is_bare(*text) ? *text : quoted(*text);
    }
    if (const auto* flag = std::get_if<bool>(&value))
    {
        return *flag ? "true" : "false";
    }
    if (const auto* floating = std::get_if<double>(&value))
    {
        // JSON cannot represent infinity or NaN.
        return std::isfinite(*floating) ? number(*floating) : "null";
    }
    if (const auto* integer = std::get_if<std::int64_t>(&value))
    {
        return number(*integer);
    }
    return number(std::get<std::uint64_t>(value));
}

/// Appends the fields that fit into the line; returns false if a field was omitted.
template <class Render>
bool append_fields(std::string& out, std::span<const field> fields, Render render)
{
    bool complete = true;
    for (const field& item : fields)
    {
        const std::string rendered = render(item);
        if (out.size() + rendered.size() + reserved_bytes > max_line_bytes)
        {
            complete = false;
            continue;
        }
        out += rendered;
    }
    return complete;
}

}  // namespace

std::string rfc3339(std::chrono::system_clock::time_point time)
{
    const auto since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return QDateTime::fromMSecsSinceEpoch(since_epoch.count(), Qt::UTC)
        .toString(Qt::ISODateWithMs)
        .toStdString();
}

std::string text_line(const line& content)
{
    std::string out = rfc3339(content.time) + ' ' + name(content.severity) + ' ';
    out += escaped(bounded(content.prefix)) + ' ' + escaped(bounded(content.message));
    const bool complete = append_fields(
        out, content.fields,
        [](const field& item) { return ' ' + item.key() + '=' + value_text(item.value(), false); });
    return complete ? out : out + " truncated=true";
}

std::string json_line(const line& content)
{
    std::string out = R"({"time":")" + rfc3339(content.time) + R"(","level":")" +
                      name(content.severity) + R"(","part":)" + quoted(content.prefix) +
                      R"(,"message":)" + quoted(content.message);
    const bool complete =
        append_fields(out, content.fields,
                      [](const field& item)
                      { return ',' + quoted(item.key()) + ':' + value_text(item.value(), true); });
    return out + (complete ? "}" : R"(,"truncated":true})");
}

}  // namespace caraway::logging
