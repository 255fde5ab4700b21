#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace caraway::ctl
{

/// Port for operators when an address names none.
inline constexpr std::uint16_t default_port = 8081;

/// Where a router answers operators.
struct router_address
{
    std::string host;
    std::uint16_t port = default_port;

    /// HOST:PORT, with brackets round an IPv6 address.
    std::string str() const;
};

/// Reads HOST, HOST:PORT, [IPV6] or [IPV6]:PORT; nothing when it is none of these.
std::optional<router_address> parse_address(const std::string& text);

}  // namespace caraway::ctl
