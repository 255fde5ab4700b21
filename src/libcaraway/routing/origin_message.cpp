#include "libcaraway/routing/origin_message.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace caraway::routing
{

namespace
{

using nlohmann::json;

/// First field of each message.
constexpr const char* message_kind = "origins";
/// An array of four fields, and the first of them, in CBOR.
constexpr std::string_view encoded_begin = "\x84\x67origins";

/// No caller waits for longer; protects arithmetic on times.
constexpr std::chrono::seconds max_time_left{3600};

std::int64_t seconds_left(base::time_point expires, base::time_point now)
{
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(expires - now),
                      std::chrono::seconds(0), max_time_left)
        .count();
}

/// Streams of one origin together, as the origin takes more bytes than a stream.
json known_json(const std::vector<known_stream>& streams, base::time_point now)
{
    std::map<std::pair<base::service_id, base::software_version>, json> by_origin;
    for (const auto& each : streams)
    {
        auto& group = by_origin[{each.origin.service, each.origin.software}];
        group.push_back({static_cast<std::uint64_t>(each.key), seconds_left(each.expires, now)});
    }
    auto out = json::array();
    for (auto& [origin, group] : by_origin)
    {
        out.push_back({origin.first.str(), origin.second.str(), std::move(group)});
    }
    return out;
}

std::vector<known_stream> parse_known(const json& encoded, base::time_point now)
{
    std::vector<known_stream> streams;
    for (const auto& group : encoded)
    {
        const stream_origin origin{.service = base::service_id(group.at(0).get<std::string>()),
                                   .software =
                                       base::software_version(group.at(1).get<std::string>())};
        for (const auto& each : group.at(2))
        {
            const std::chrono::seconds left(each.at(1).get<std::int64_t>());
            streams.push_back(
                {.key = stream_key{each.at(0).get<std::uint64_t>()},
                 .origin = origin,
                 .expires = now + std::clamp(left, std::chrono::seconds(0), max_time_left)});
        }
    }
    return streams;
}

json keys_json(const std::vector<stream_key>& keys)
{
    auto out = json::array();
    for (const auto key : keys)
    {
        out.push_back(static_cast<std::uint64_t>(key));
    }
    return out;
}

std::vector<stream_key> parse_keys(const json& encoded)
{
    std::vector<stream_key> keys;
    for (const auto& key : encoded)
    {
        keys.push_back(stream_key{key.get<std::uint64_t>()});
    }
    return keys;
}

}  // namespace

std::string encode(const origin_message& message, base::time_point now)
{
    const auto fields = json::array({message_kind, known_json(message.known, now),
                                     keys_json(message.asked), keys_json(message.unknown)});
    std::string out;
    json::to_cbor(fields, out);
    return out;
}

bool is_origin_message(std::string_view bytes)
{
    return bytes.starts_with(encoded_begin);
}

base::result<origin_message> decode_origin_message(std::string_view bytes, base::time_point now)
{
    const auto fields = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!fields.is_array())
    {
        return base::make_error(base::errc::corrupt, "Datagram is not a message about streams.");
    }
    try
    {
        return origin_message{.known = parse_known(fields.at(1), now),
                              .asked = parse_keys(fields.at(2)),
                              .unknown = parse_keys(fields.at(3))};
    }
    catch (const json::exception& parse_error)
    {
        return base::make_error(base::errc::corrupt, parse_error.what());
    }
}

}  // namespace caraway::routing
