#pragma once

#include "libcaraway/base/ids.hpp"

#include <cstdint>

namespace caraway::routing
{

/// Identifies a stream equally at all routers: a hash of the id of the attempt that brought its
/// first event.
enum class stream_key : std::uint64_t
{
};

stream_key key_of(const base::request_id& first_attempt);

/// What sent the first event of a stream. What upstreams of two versions write doesn't fit
/// together, so the stream may go on only at an upstream of the same service and version.
struct stream_origin
{
    base::service_id service;
    base::software_version software;

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

}  // namespace caraway::routing
