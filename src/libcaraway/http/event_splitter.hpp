#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway::http
{

/// One event of a stream, with the blank line that ends it.
struct stream_event
{
    std::string_view text;
    std::optional<std::uint64_t> id;
};

/// Cuts the bytes of an event stream (text/event-stream, WHATWG HTML) into whole events. An
/// upstream may break off in the middle of one; what is passed on only whole can be continued by
/// another upstream without a gap or a repetition.
class event_splitter
{
public:
    void add(std::string_view bytes);
    /// The next whole event; its text is valid until the next call of this object.
    std::optional<stream_event> next();
    /// Bytes of an event that isn't whole.
    bool has_partial_event() const
    {
        return begin_ < buffer_.size();
    }

private:
    std::string buffer_;
    std::size_t begin_ = 0;
    std::size_t searched_ = 0;
};

}  // namespace caraway::http
