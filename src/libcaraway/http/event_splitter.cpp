#include "libcaraway/http/event_splitter.hpp"

#include <charconv>

namespace caraway::http
{

namespace
{

/// Where the blank line at `at` ends, if one begins there: "\n\n" or "\n\r\n".
std::size_t blank_line_end(std::string_view text, std::size_t at)
{
    if (at + 1 < text.size() && text[at + 1] == '\n')
    {
        return at + 2;
    }
    if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n')
    {
        return at + 3;
    }
    return 0;
}

std::optional<std::uint64_t> id_of(std::string_view text)
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
    if (begin_ > 0)
    {
        buffer_.erase(0, begin_);
        searched_ -= begin_;
        begin_ = 0;
    }
    buffer_ += bytes;
}

std::optional<stream_event> event_splitter::next()
{
    const std::string_view all(buffer_);
    auto newline = all.find('\n', searched_);
    while (newline != std::string_view::npos)
    {
        const auto end = blank_line_end(all, newline);
        if (end > 0)
        {
            const auto text = all.substr(begin_, end - begin_);
            begin_ = end;
            searched_ = end;
            return stream_event{.text = text, .id = id_of(text)};
        }
        if (newline + 2 >= all.size())
        {
            // The rest of a blank line may still come.
            searched_ = newline;
            return std::nullopt;
        }
        searched_ = newline + 1;
        newline = all.find('\n', searched_);
    }
    searched_ = all.size();
    return std::nullopt;
}

}  // namespace caraway::http
