#include "carawayctl/router_address.hpp"

#include <charconv>
#include <string_view>

namespace caraway::ctl
{

namespace
{

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc{} || end != text.data() + text.size() || port == 0)
    {
        return std::nullopt;
    }
    return port;
}

std::optional<router_address> make_address(std::string_view host, std::string_view rest)
{
    if (host.empty())
    {
        return std::nullopt;
    }
    if (rest.empty())
    {
        return router_address{.host = std::string(host)};
    }
    const auto port = rest.front() == ':' ? parse_port(rest.substr(1)) : std::nullopt;
    if (!port)
    {
        return std::nullopt;
    }
    return router_address{.host = std::string(host), .port = *port};
}

}  // namespace

std::string router_address::str() const
{
    const bool ipv6 = host.find(':') != std::string::npos;
    return (ipv6 ? '[' + host + ']' : host) + ':' + std::to_string(port);
}

std::optional<router_address> parse_address(const std::string& text)
{
    const std::string_view view = text;
    if (view.starts_with('['))
    {
        const auto close = view.find(']');
        return close == std::string_view::npos
                   ? std::nullopt
                   : make_address(view.substr(1, close - 1), view.substr(close + 1));
    }
    const auto colon = view.find(':');
    const auto host = view.substr(0, colon);
    return make_address(host, view.substr(host.size()));
}

}  // namespace caraway::ctl
