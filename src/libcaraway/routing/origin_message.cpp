#include "libcaraway/routing/origin_message.hpp"

#include "libcaraway/routing/known_streams.hpp"

namespace caraway::routing
{

namespace
{

/// First field of each message.
constexpr std::string_view message_kind = "origins";
/// An array of four fields, and the first of them, in CBOR.
constexpr std::string_view encoded_begin = "\x84\x67origins";
constexpr std::size_t field_count = 4;

void write_keys(cbor_writer& out, const std::vector<stream_key>& keys)
{
    out.array(keys.size());
    for (const auto key : keys)
    {
        out.unsigned_integer(static_cast<std::uint64_t>(key));
    }
}

std::vector<stream_key> read_keys(cbor_reader& in)
{
    std::vector<stream_key> keys;
    for (auto left = in.array(); left > 0 && !in.failed(); --left)
    {
        keys.push_back(stream_key{in.integer<std::uint64_t>()});
    }
    return keys;
}

}  // namespace

std::string encode(const origin_message& message, base::time_point now)
{
    std::string bytes;
    cbor_writer out(bytes);
    out.array(field_count);
    out.text(message_kind);
    write_known_streams(out, message.known, now);
    write_keys(out, message.asked);
    write_keys(out, message.unknown);
    return bytes;
}

bool is_origin_message(std::string_view bytes)
{
    return bytes.starts_with(encoded_begin);
}

base::result<origin_message> decode_origin_message(std::string_view bytes, base::time_point now)
{
    cbor_reader in(bytes);
    in.array(field_count);
    in.text();
    // Read in the order of the fields.
    origin_message message;
    message.known = read_known_streams(in, now);
    message.asked = read_keys(in);
    message.unknown = read_keys(in);
    if (in.failed() || !in.at_end())
    {
        return base::make_error(base::errc::corrupt, "Datagram is not a message about streams.");
    }
    return message;
}

}  // namespace caraway::routing
