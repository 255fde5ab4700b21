#include "libcaraway/http/event_splitter.hpp"

#include <charconv>

namespace caraway::http
{

namespace
{

/// Returns the position after the blank line ("\n\n" or "\n\r\n") that begins newline `newline`, or
/// 0 if none does.
std::size_t blank_line_end(std::string_view text, std::size_t newline)
{
    if (newline + 1 < text.size() && text[newline + 1] == '\n')
    {
        return newline + 2;
    }
    if (newline + 2 < text.size() && text[newline + 1] == '\r' && text[newline + 2] == '\n')
    {
        return newline + 3;
    }
    return 0;
}

std::optional<std::uint64_t> parse_id(std::string_view text)
{
    std::size_t line = 0;
    while (line < text.size())
    {
        auto rest = text.substr(line);
        if (rest.starts_with("id:"))
        {
            rest.remove_prefix(rest.size() > 3 && rest[3] == ' ' ? 4 : 3);
            std::uint64_t id = 0;
            const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), id);
            return error == std::errc{} ? std::optional(id) : std::nullopt;
        }
        const auto newline = text.find('\n', line);
        if (newline == std::string_view::npos)
        {
            break;
        }
        line = newline + 1;
    }
    return std::nullopt;
}

}  // namespace

void event_splitter::add(std::string_view bytes)
{
    if (event_begin_ > 0)
    {
        buffer_.erase(0, event_begin_);
        search_begin_ -= event_begin_;
        event_begin_ = 0;
    }
    buffer_ += bytes;
}

std::optional<stream_event> event_splitter::next()
{
    const std::string_view all(buffer_);
    auto newline = all.find('\n', search_begin_);
    while (newline != std::string_view::npos)
    {
        const auto end = blank_line_end(all, newline);
        if (end > 0)
        {
            const auto text = all.substr(event_begin_, end - event_begin_);
            event_begin_ = end;
            search_begin_ = end;
            return stream_event{.text = text, .id = parse_id(text)};
        }
        if (newline + 2 >= all.size())
        {
            // The remainder of a blank line may still arrive.
            search_begin_ = newline;
            return std::nullopt;
        }
        search_begin_ = newline + 1;
        newline = all.find('\n', search_begin_);
    }
    search_begin_ = all.size();
    return std::nullopt;
}

}  // namespace caraway::http
