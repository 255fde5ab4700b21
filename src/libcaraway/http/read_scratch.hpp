#pragma once

#include <array>
#include <cstddef>

namespace caraway::http
{

/// Bytes in the read buffer shared by all connections of a thread. Separate buffers of 16 KB took
/// 25 MB on a VM with 860 connections, and VMs have only 88 to 260 MB of memory.
inline constexpr std::size_t read_scratch_size = 65536;

/// Bytes of one read from a connection of a caller, and of an upstream that answers a caller: what
/// is read has to be kept, however little room is left.
inline constexpr std::size_t max_read_bytes = 16384;

/// Holds the bytes of one read until they are appended to the connection's parse buffer.
inline std::array<char, read_scratch_size>& read_scratch()
{
    thread_local std::array<char, read_scratch_size> scratch;
    return scratch;
}

}  // namespace caraway::http
