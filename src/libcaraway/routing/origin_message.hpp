#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/routing/stream_origins.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace caraway::routing
{

/// What routers tell each other about the origins of streams, by datagram. Lost and repeated
/// messages do no harm.
struct origin_message
{
    std::vector<known_stream> known;
    /// Streams whose origin the sender asks for.
    std::vector<stream_key> asked;
    /// Streams whose origin the sender was asked for and doesn't know.
    std::vector<stream_key> unknown;
};

/// Encodes the message as CBOR (RFC 8949), with the time left until a stream expires in seconds.
std::string encode(const origin_message& message, base::time_point now);
/// Whether the bytes are meant to be such a message, and not a digest.
bool is_origin_message(std::string_view bytes);
/// Errors: `corrupt` if the bytes are anything but one complete message.
base::result<origin_message> decode_origin_message(std::string_view bytes, base::time_point now);

}  // namespace caraway::routing
