#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/routing/cbor_reader.hpp"
#include "libcaraway/routing/cbor_writer.hpp"
#include "libcaraway/routing/stream_origins.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace caraway::routing
{

/// Appends the streams, with the time left until they expire in seconds: those of one origin
/// together, as the origin takes more bytes than a stream.
void write_known_streams(cbor_writer& out, const std::vector<known_stream>& streams,
                         base::time_point now);
std::vector<known_stream> read_known_streams(cbor_reader& in, base::time_point now);

/// Origins of streams that are kept in the platform's store.
struct stored_origins
{
    /// When they were written, by the store's clock.
    std::chrono::milliseconds store_time{};
    std::vector<known_stream> streams;
};

/// Encodes the origins as CBOR (RFC 8949).
std::string encode(const stored_origins& stored, base::time_point now);
/// `store_time` is the present time by the store's clock: it shortens what is left of the streams'
/// time. Errors: `corrupt` if the bytes are anything but one complete list.
base::result<stored_origins> decode_stored_origins(std::string_view bytes,
                                                   std::chrono::milliseconds store_time,
                                                   base::time_point now);

}  // namespace caraway::routing
