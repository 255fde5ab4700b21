#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/configuration.hpp"

#include <cstdint>

namespace caraway::routing
{

/// Identifies a stream equally at all routers: a hash of the id of the attempt that brought its
/// first event.
enum class stream_key : std::uint64_t
{
};

stream_key key_of(const base::request_id& first_attempt);

/// How long after the last upstream of a version has left the list a stream of that version may be
/// resumed: a router without news may place a run late, which takes a timeout at most, and its
/// caller may try for some more.
base::duration resumable_period(const route& served, std::chrono::milliseconds leaving_notice);

/// What sent the first event of a stream. What upstreams of two versions write doesn't fit
/// together, so the stream may go on only at an upstream of the same service and version.
struct stream_origin
{
    base::service_id service;
    base::software_version software;

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

}  // namespace caraway::routing
