#include "libcaraway/routing/known_streams.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace caraway::routing
{

namespace
{

/// First field of stored origins.
constexpr std::string_view stored_kind = "stored";
constexpr std::size_t stored_field_count = 3;
constexpr std::size_t group_field_count = 3;
constexpr std::size_t stream_field_count = 2;

/// No caller waits for longer; protects arithmetic on times.
constexpr std::chrono::seconds max_time_left{3600};

std::uint64_t seconds_left(base::time_point expires, base::time_point now)
{
    const auto left = std::chrono::ceil<std::chrono::seconds>(expires - now);
    return static_cast<std::uint64_t>(
        std::clamp(left, std::chrono::seconds(0), max_time_left).count());
}

void read_group(cbor_reader& in, base::time_point now, std::vector<known_stream>& streams)
{
    const auto group_size = in.array(group_field_count);
    const stream_origin origin{.service = base::service_id(std::string(in.text())),
                               .software = base::software_version(std::string(in.text()))};
    for (auto left = in.array(); left > 0 && !in.failed(); --left)
    {
        const auto size = in.array(stream_field_count);
        const stream_key key{in.integer<std::uint64_t>()};
        const std::chrono::seconds time_left(in.integer<std::uint32_t>());
        in.skip(size - stream_field_count);
        streams.push_back(
            {.key = key, .origin = origin, .expires = now + std::min(time_left, max_time_left)});
    }
    in.skip(group_size - group_field_count);
}

}  // namespace

void write_known_streams(cbor_writer& out, const std::vector<known_stream>& streams,
                         base::time_point now)
{
    std::map<std::pair<base::service_id, base::software_version>, std::vector<const known_stream*>>
        by_origin;
    for (const auto& each : streams)
    {
        by_origin[{each.origin.service, each.origin.software}].push_back(&each);
    }
    out.array(by_origin.size());
    for (const auto& [origin, group] : by_origin)
    {
        out.array(group_field_count);
        out.text(origin.first.str());
        out.text(origin.second.str());
        out.array(group.size());
        for (const auto* stream : group)
        {
            out.array(stream_field_count);
            out.unsigned_integer(static_cast<std::uint64_t>(stream->key));
            out.unsigned_integer(seconds_left(stream->expires, now));
        }
    }
}

std::vector<known_stream> read_known_streams(cbor_reader& in, base::time_point now)
{
    std::vector<known_stream> streams;
    for (auto left = in.array(); left > 0 && !in.failed(); --left)
    {
        read_group(in, now, streams);
    }
    return streams;
}

std::string encode(const stored_origins& stored, base::time_point now)
{
    std::string bytes;
    cbor_writer out(bytes);
    out.array(stored_field_count);
    out.text(stored_kind);
    out.unsigned_integer(static_cast<std::uint64_t>(stored.store_time.count()));
    write_known_streams(out, stored.streams, now);
    return bytes;
}

base::result<stored_origins> decode_stored_origins(std::string_view bytes,
                                                   std::chrono::milliseconds store_time,
                                                   base::time_point now)
{
    cbor_reader in(bytes);
    in.array(stored_field_count);
    const bool is_stored = in.text() == stored_kind;
    stored_origins stored{.store_time = std::chrono::milliseconds(in.integer<std::int64_t>())};
    const auto age = std::clamp<std::chrono::milliseconds>(
        store_time - stored.store_time, std::chrono::milliseconds(0), 2 * max_time_left);
    stored.streams = read_known_streams(in, now - age);
    if (!is_stored || in.failed() || !in.at_end())
    {
        return base::make_error(base::errc::corrupt, "Row is not a list of streams.");
    }
    return stored;
}

}  // namespace caraway::routing
