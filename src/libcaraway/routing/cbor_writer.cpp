#include "libcaraway/routing/cbor_writer.hpp"

#include "libcaraway/routing/cbor_format.hpp"

#include <array>
#include <bit>
#include <cmath>
#include <limits>

namespace caraway::routing
{

namespace
{

/// Whether the value is equal to one of single precision; false if not a number.
bool is_single_precision(double value)
{
    return std::abs(value) <= static_cast<double>(std::numeric_limits<float>::max()) &&
           static_cast<double>(static_cast<float>(value)) == value;
}

/// Infinite, or not a number, in half precision.
std::uint16_t half_precision_of_special(double value)
{
    constexpr std::uint16_t not_a_number = 0x7e00;
    constexpr std::uint16_t infinite = 0x7c00;
    constexpr std::uint16_t negative_infinite = 0xfc00;
    if (std::isnan(value))
    {
        return not_a_number;
    }
    return value > 0 ? infinite : negative_infinite;
}

}  // namespace

void cbor_writer::array(std::size_t size)
{
    head(cbor::array, size);
}

void cbor_writer::text(std::string_view value)
{
    head(cbor::text, value.size());
    out_.append(value);
}

void cbor_writer::boolean(bool value)
{
    out_.push_back(static_cast<char>(value ? cbor::true_byte : cbor::false_byte));
}

void cbor_writer::unsigned_integer(std::uint64_t value)
{
    head(cbor::unsigned_integer, value);
}

void cbor_writer::integer(std::int64_t value)
{
    if (value >= 0)
    {
        head(cbor::unsigned_integer, static_cast<std::uint64_t>(value));
        return;
    }
    head(cbor::negative_integer, static_cast<std::uint64_t>(-(value + 1)));
}

void cbor_writer::real(double value)
{
    if (!std::isfinite(value))
    {
        big_endian(cbor::half_byte, half_precision_of_special(value));
    }
    else if (is_single_precision(value))
    {
        big_endian(cbor::single_byte, std::bit_cast<std::uint32_t>(static_cast<float>(value)));
    }
    else
    {
        big_endian(cbor::double_byte, std::bit_cast<std::uint64_t>(value));
    }
}

void cbor_writer::head(std::uint8_t major_type, std::uint64_t argument)
{
    const auto major_bits = static_cast<std::uint8_t>(major_type << cbor::info_bits);
    const auto initial_byte = [&](std::uint8_t info)
    {
        return static_cast<std::uint8_t>(major_bits | info);
    };
    if (argument < cbor::one_byte)
    {
        out_.push_back(static_cast<char>(initial_byte(static_cast<std::uint8_t>(argument))));
    }
    else if (argument <= std::numeric_limits<std::uint8_t>::max())
    {
        big_endian(initial_byte(cbor::one_byte), static_cast<std::uint8_t>(argument));
    }
    else if (argument <= std::numeric_limits<std::uint16_t>::max())
    {
        big_endian(initial_byte(cbor::two_bytes), static_cast<std::uint16_t>(argument));
    }
    else if (argument <= std::numeric_limits<std::uint32_t>::max())
    {
        big_endian(initial_byte(cbor::four_bytes), static_cast<std::uint32_t>(argument));
    }
    else
    {
        big_endian(initial_byte(cbor::eight_bytes), argument);
    }
}

template <class Unsigned>
void cbor_writer::big_endian(std::uint8_t initial_byte, Unsigned argument)
{
    std::array<char, 1 + sizeof argument> bytes{};
    bytes[0] = static_cast<char>(initial_byte);
    for (std::size_t i = 0; i < sizeof argument; ++i)
    {
        const auto shift = 8 * (sizeof argument - 1 - i);
        bytes[1 + i] = static_cast<char>(static_cast<std::uint64_t>(argument) >> shift);
    }
    out_.append(bytes.data(), bytes.size());
}

}  // namespace caraway::routing
