#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace caraway::http
{

/// Decides about new connections while there is not enough processor time for all of them. Set all
/// functions or none.
struct door
{
    /// Whether new connections are decided about by their first bytes.
    std::function<bool()> is_narrow;
    /// Whether one more connection may be accepted before the next call of `listener::resume`.
    std::function<bool()> accepts_more;
    /// A complete answer, with `Connection: close`, that refuses the request that begins with these
    /// bytes, which may be none; empty if the request is to be read.
    std::function<std::optional<std::string>(std::string_view)> refusal;
    /// A connection was refused with an answer.
    std::function<void()> on_refused;
    /// A connection's caller had closed it before it was read.
    std::function<void()> on_left;
    /// The listening socket was closed, as no more connections may be accepted, and opened again by
    /// `listener::resume`.
    std::function<void()> on_closed;
    std::function<void()> on_opened;
};

}  // namespace caraway::http
