#include "libcaraway/net/platform_call.hpp"

#include "libcaraway/net/platform_codec.hpp"

#include <array>

namespace caraway::net
{

using base::errc;
using base::make_error;

namespace
{

std::optional<base::error> transport_error(const platform_reply& reply, bool write)
{
    using kind = platform_reply::kind;
    switch (reply.what)
    {
    case kind::answered:
        return std::nullopt;
    case kind::not_sent:
        return make_error(errc::unavailable, "no connection to the platform");
    case kind::not_begun:
        return make_error(errc::timeout, "the platform took no connection in time");
    case kind::lost:
        return make_error(write ? errc::unknown_effect : errc::unavailable,
                          "the connection to the platform broke before its answer");
    case kind::silent:
        return make_error(write ? errc::unknown_effect : errc::timeout,
                          "no answer from the platform in time");
    case kind::too_large:
        return make_error(write ? errc::unknown_effect : errc::corrupt,
                          "the platform's answer exceeds the limit");
    }
    return make_error(errc::internal, "an unknown kind of reply");
}

}  // namespace

base::result<QByteArray> successful_body(const platform_reply& reply, bool write)
{
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    if (auto broken = transport_error(reply, write))
    {
        return std::move(*broken);
    }
    if (reply.status < first_success || reply.status >= first_redirect)
    {
        return platform_codec::decode_error(reply.status, reply.body, write);
    }
    return reply.body;
}

const char* name(platform_operation operation)
{
    static constexpr std::array<const char*, platform_operation_count> names{
        "get", "query", "put", "remove", "transact", "get_object", "put_object", "list_vms"};
    return names.at(static_cast<std::size_t>(operation));
}

}  // namespace caraway::net
