#pragma once

#include <cstdint>

/// Numbers of the format of CBOR data items (RFC 8949, section 3).
namespace caraway::routing::cbor
{

/// An item begins with a byte of three bits of major type and five bits of additional information.
constexpr std::uint8_t info_bits = 5;
constexpr std::uint8_t info_mask = (1U << info_bits) - 1;

// Major types.
constexpr std::uint8_t unsigned_integer = 0;
constexpr std::uint8_t negative_integer = 1;
constexpr std::uint8_t bytes = 2;
constexpr std::uint8_t text = 3;
constexpr std::uint8_t array = 4;
constexpr std::uint8_t map = 5;
constexpr std::uint8_t simple = 7;

// Additional information that says how many bytes of argument follow; smaller values are the
// argument themselves.
constexpr std::uint8_t one_byte = 24;
constexpr std::uint8_t two_bytes = 25;
constexpr std::uint8_t four_bytes = 26;
constexpr std::uint8_t eight_bytes = 27;

// Additional information of simple values.
constexpr std::uint8_t false_info = 20;
constexpr std::uint8_t true_info = 21;
constexpr std::uint8_t null_info = 22;

// First bytes of simple values, and of floating-point numbers by their precision.
constexpr std::uint8_t false_byte = simple << info_bits | false_info;
constexpr std::uint8_t true_byte = simple << info_bits | true_info;
constexpr std::uint8_t half_byte = simple << info_bits | two_bytes;
constexpr std::uint8_t single_byte = simple << info_bits | four_bytes;
constexpr std::uint8_t double_byte = simple << info_bits | eight_bytes;

}  // namespace caraway::routing::cbor
