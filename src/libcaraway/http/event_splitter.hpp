#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway::http
{

/// One event of a stream, including the blank line that ends it.
struct stream_event
{
    std::string_view text;
    /// Value of the `id` field; empty if it is missing or not a number.
    std::optional<std::uint64_t> id;
};

/// Splits the bytes of an event stream (text/event-stream, WHATWG HTML) into complete events. An
/// upstream may fail in the middle of an event; a stream relayed in complete events only can be
/// resumed by another upstream without a gap or a duplicate.
class event_splitter
{
public:
    void add(std::string_view bytes);
    /// Returns the next complete event, if any. Its text is valid until the next call of `add`.
    std::optional<stream_event> next();
    /// Whether the buffer holds bytes that `next` has not returned, such as an incomplete event.
    bool has_partial_event() const
    {
        return partial_bytes() > 0;
    }
    /// Number of such bytes.
    std::size_t partial_bytes() const
    {
        return buffer_.size() - event_begin_;
    }

private:
    std::string buffer_;
    std::size_t event_begin_ = 0;
    std::size_t search_begin_ = 0;
};

}  // namespace caraway::http
