#pragma once

#include <cstddef>

/// Upper bounds on the content of one message. They are far above what a fleet of the target size
/// sends, and limit how much memory a faulty peer can make the receiver allocate.
namespace caraway::wire
{

inline constexpr std::size_t max_id_bytes = 128;
/// Enough for an IPv6 address with a scope.
inline constexpr std::size_t max_host_bytes = 64;
inline constexpr std::size_t max_messages = 256;
inline constexpr std::size_t max_fields = 64;
inline constexpr std::size_t max_members = 512;
inline constexpr std::size_t max_samples = 256;
inline constexpr std::size_t max_entries = 1024;
/// Length of a list in a scheduling message: demands, holdings, grants, totals.
inline constexpr std::size_t max_scheduling_elements = 4096;

}  // namespace caraway::wire
