#include "libcaraway/http/raw_head.hpp"

#include "libcaraway/http/field_lines.hpp"

#include <charconv>

namespace caraway::http
{

namespace
{

constexpr std::string_view line_end = "\r\n";

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Removes the first line from `lines` and returns it without its end.
std::string_view take_line(std::string_view& lines)
{
    const auto end = lines.find(line_end);
    const auto line = lines.substr(0, end);
    lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + line_end.size());
    return line;
}

}  // namespace

std::optional<raw_head> raw_head::find(std::string_view bytes)
{
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos || end == 0)
    {
        return std::nullopt;
    }
    return raw_head(bytes.substr(0, end + 2), bytes.substr(end + 4));
}

std::string_view raw_head::field(std::string_view name) const
{
    auto lines = lines_;
    take_line(lines);
    while (!lines.empty())
    {
        const auto line = take_line(lines);
        const auto colon = line.find(':');
        if (colon == name.size() && is_same_name(line.substr(0, colon), name))
        {
            return trimmed(line.substr(colon + 1));
        }
    }
    return {};
}

std::string_view raw_head::target() const
{
    auto lines = lines_;
    const auto line = take_line(lines);
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    return first == last ? std::string_view{} : line.substr(first + 1, last - first - 1);
}

bool raw_head::is_whole_request() const
{
    if (!field("Transfer-Encoding").empty())
    {
        return false;
    }
    const auto length = field("Content-Length");
    std::size_t body_size = 0;
    if (!length.empty())
    {
        const auto* last = length.data() + length.size();
        const auto [end, error] = std::from_chars(length.data(), last, body_size);
        if (error != std::errc{} || end != last)
        {
            return false;
        }
    }
    return rest_.size() == body_size;
}

}  // namespace caraway::http
