#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace caraway::net
{

/// What one worker takes from callers. Each limit is answered with the status named beside it.
struct http_limits
{
    /// Request line and header fields together, in bytes: 431.
    std::size_t header_bytes = 16384;
    /// Body, decoded or as announced, in bytes: 413.
    std::size_t body_bytes = std::size_t{8} << 20;
    /// Open connections of a worker: 503.
    std::uint32_t connections = 2048;
    /// From the first byte of a request to the end of its header: 408.
    std::chrono::milliseconds header_timeout{10'000};
    /// Without a further byte of the body: 408.
    std::chrono::milliseconds body_timeout{30'000};
    /// Without a request: the connection is closed.
    std::chrono::milliseconds idle_timeout{75'000};
    /// Without the caller taking a byte of what waits for it: the connection is broken off.
    std::chrono::milliseconds write_stall_timeout{60'000};
};

}  // namespace caraway::net
