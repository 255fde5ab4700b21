#pragma once

#include <optional>
#include <string_view>

namespace caraway::http
{

/// A view of the head of an HTTP/1.1 request in the bytes read first from a connection, without
/// parsing all of it. For decisions that only refuse a request: what is to be served is parsed and
/// checked in full.
class raw_head
{
public:
    /// Empty if the bytes hold no complete head of a request.
    static std::optional<raw_head> find(std::string_view bytes);

    /// Value of the first field with this name, without regard to case; empty if there is none.
    std::string_view field(std::string_view name) const;
    /// The request's target; empty if the first line has none.
    std::string_view target() const;
    /// Whether the bytes are exactly one request with its body.
    bool is_whole_request() const;

private:
    explicit raw_head(std::string_view lines, std::string_view rest) : lines_(lines), rest_(rest) {}

    /// The head's lines, each ended by CRLF, without the empty line.
    std::string_view lines_;
    /// The bytes after the head.
    std::string_view rest_;
};

}  // namespace caraway::http
