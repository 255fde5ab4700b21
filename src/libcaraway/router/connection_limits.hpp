#pragma once

#include "libcaraway/router/settings.hpp"

#include <algorithm>

namespace caraway::router
{

/// Open connections that a router accepts at most.
struct connection_limits
{
    std::size_t of_callers = 0;
    /// At each of the other addresses.
    std::size_t internal = 0;

    std::size_t total() const
    {
        constexpr std::size_t other_addresses = 4;
        return of_callers + other_addresses * internal;
    }
};

/// Divides the process's file descriptors.
inline connection_limits limits_of_connections(const settings& options)
{
    /// The process's own, and those of connections to upstreams.
    constexpr std::size_t reserved_descriptors = 700;
    const auto most = options.max_descriptors;
    const auto internal = most / 16;
    const auto reserved = std::min(most / 2, reserved_descriptors + 3 * internal);
    return {.of_callers = most - reserved, .internal = internal};
}

}  // namespace caraway::router
