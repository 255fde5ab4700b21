#pragma once

#include "libcaraway/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <tuple>

namespace caraway::attempts
{

/// One process of an upstream, which may start again under its id.
struct upstream_incarnation
{
    base::upstream_id id;
    /// When the process started, by the upstream's clock, since the epoch; 0 if unknown.
    std::chrono::milliseconds process_start{};

    friend bool operator==(const upstream_incarnation&, const upstream_incarnation&) = default;
    friend bool operator<(const upstream_incarnation& a, const upstream_incarnation& b)
    {
        return std::tie(a.id, a.process_start) < std::tie(b.id, b.process_start);
    }
};

/// Short hash of an upstream id.
enum class upstream_fingerprint : std::uint32_t
{
};

upstream_fingerprint upstream_fingerprint_of(const base::upstream_id& upstream);

/// The low bits of the start of a process. Tells the processes of one upstream apart, of which
/// there are few.
enum class start_fingerprint : std::uint32_t
{
    unknown = 0,
};

/// A crash as it is counted and sent between routers: short, and equal at all routers that see the
/// crash.
struct crash_fingerprint
{
    upstream_fingerprint upstream{};
    /// Unknown where the platform doesn't tell it, or the router that saw the crash doesn't send
    /// it.
    start_fingerprint start{};

    friend bool operator==(const crash_fingerprint&, const crash_fingerprint&) = default;
    friend bool operator<(const crash_fingerprint& a, const crash_fingerprint& b)
    {
        return std::tie(a.upstream, a.start) < std::tie(b.upstream, b.start);
    }
};

crash_fingerprint fingerprint_of(const upstream_incarnation& crashed);

/// Whether the crash is one of `crashes`, a set or map by fingerprint. A crash with an unknown
/// start may be any of its upstream's.
template <class Crashes>
bool contains_crash(const Crashes& crashes, const crash_fingerprint& crash)
{
    if (crash.start != start_fingerprint::unknown)
    {
        return crashes.contains(crash);
    }
    const auto first = crashes.lower_bound(crash);
    constexpr auto last_start = start_fingerprint{0xffffffff};
    return first != crashes.upper_bound({.upstream = crash.upstream, .start = last_start});
}

/// Removes the crash with an unknown start that this one, with a known start, may be.
template <class Crashes>
void remove_same_crash(Crashes& crashes, const crash_fingerprint& crash)
{
    if (crash.start != start_fingerprint::unknown)
    {
        crashes.erase({.upstream = crash.upstream});
    }
}

}  // namespace caraway::attempts
