#include "libcaraway/routing/cbor_reader.hpp"

#include "libcaraway/routing/cbor_format.hpp"

#include <bit>
#include <cmath>

namespace caraway::routing
{

namespace
{

double from_half_precision(std::uint16_t bits)
{
    constexpr int fraction_bits = 10;
    constexpr int exponent_bias = 15;
    constexpr int special_exponent = 31;
    const int exponent = (bits >> fraction_bits) & special_exponent;
    const int fraction = bits & ((1 << fraction_bits) - 1);
    const bool is_negative = (bits & 0x8000U) != 0;
    double value = std::ldexp(fraction, 1 - exponent_bias - fraction_bits);
    if (exponent == special_exponent)
    {
        value = fraction == 0 ? std::numeric_limits<double>::infinity()
                              : std::numeric_limits<double>::quiet_NaN();
    }
    else if (exponent != 0)
    {
        value =
            std::ldexp(fraction + (1 << fraction_bits), exponent - exponent_bias - fraction_bits);
    }
    return is_negative ? -value : value;
}

}  // namespace

std::uint64_t cbor_reader::array(std::uint64_t min_size)
{
    const auto item = head();
    const bool valid = item.major_type == cbor::array && item.argument >= min_size &&
                       item.argument <= rest_.size();
    return valid ? item.argument : failure<std::uint64_t>();
}

std::string_view cbor_reader::text()
{
    const auto item = head();
    return item.major_type == cbor::text ? take(item.argument) : failure<std::string_view>();
}

bool cbor_reader::boolean()
{
    const auto item = head();
    const bool valid = item.major_type == cbor::simple &&
                       (item.info == cbor::false_info || item.info == cbor::true_info);
    return valid ? item.info == cbor::true_info : failure<bool>();
}

double cbor_reader::real()
{
    const auto item = head();
    switch (item.major_type)
    {
    case cbor::unsigned_integer:
        return static_cast<double>(item.argument);
    case cbor::negative_integer:
        return -1.0 - static_cast<double>(item.argument);
    default:
        return floating(item);
    }
}

cbor_reader::whole_number cbor_reader::number()
{
    constexpr auto max_negative =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const auto item = head();
    if (item.major_type == cbor::unsigned_integer)
    {
        return {.magnitude = item.argument};
    }
    if (item.major_type == cbor::negative_integer && item.argument <= max_negative)
    {
        return {.is_negative = true, .magnitude = item.argument};
    }
    return whole_part(floating(item));
}

cbor_reader::whole_number cbor_reader::whole_part(double value)
{
    // The first values beyond those of the integer types.
    constexpr double unsigned_end = 0x1p64;
    constexpr double signed_end = 0x1p63;
    const auto whole = std::trunc(value);
    const bool fits = whole >= -signed_end && whole < unsigned_end;
    if (!fits)
    {
        return failure<whole_number>();
    }
    if (whole >= 0)
    {
        return {.magnitude = static_cast<std::uint64_t>(whole)};
    }
    const auto below_zero = static_cast<std::int64_t>(whole);
    return {.is_negative = true, .magnitude = static_cast<std::uint64_t>(-(below_zero + 1))};
}

double cbor_reader::floating(const item_head& item)
{
    if (item.major_type == cbor::simple && item.info == cbor::two_bytes)
    {
        return from_half_precision(static_cast<std::uint16_t>(item.argument));
    }
    if (item.major_type == cbor::simple && item.info == cbor::four_bytes)
    {
        return std::bit_cast<float>(static_cast<std::uint32_t>(item.argument));
    }
    if (item.major_type == cbor::simple && item.info == cbor::eight_bytes)
    {
        return std::bit_cast<double>(item.argument);
    }
    return failure<double>();
}

void cbor_reader::skip(std::uint64_t count)
{
    // Not recursive, as items may be nested as deep as there are bytes.
    while (count > 0 && !failed_)
    {
        count += skip_content(head());
        --count;
    }
}

std::uint64_t cbor_reader::skip_content(const item_head& item)
{
    switch (item.major_type)
    {
    case cbor::unsigned_integer:
    case cbor::negative_integer:
        return 0;
    case cbor::bytes:
    case cbor::text:
        take(item.argument);
        return 0;
    case cbor::array:
        return item.argument <= rest_.size() ? item.argument : failure<std::uint64_t>();
    case cbor::map:
        return item.argument <= rest_.size() / 2 ? 2 * item.argument : failure<std::uint64_t>();
    case cbor::simple:
    {
        const bool is_known = (item.info >= cbor::false_info && item.info <= cbor::null_info) ||
                              item.info >= cbor::two_bytes;
        return is_known ? 0 : failure<std::uint64_t>();
    }
    default:
        return failure<std::uint64_t>();
    }
}

cbor_reader::item_head cbor_reader::head()
{
    if (failed_ || rest_.empty())
    {
        return failure<item_head>();
    }
    const auto initial_byte = static_cast<std::uint8_t>(rest_.front());
    item_head item{.major_type = static_cast<std::uint8_t>(initial_byte >> cbor::info_bits),
                   .info = static_cast<std::uint8_t>(initial_byte & cbor::info_mask)};
    rest_.remove_prefix(1);
    if (item.info < cbor::one_byte)
    {
        item.argument = item.info;
        return item;
    }
    const auto size = std::size_t{1} << (item.info - cbor::one_byte);
    if (item.info > cbor::eight_bytes || size > rest_.size())
    {
        return failure<item_head>();
    }
    for (std::size_t i = 0; i < size; ++i)
    {
        item.argument = item.argument << 8U | static_cast<std::uint8_t>(rest_[i]);
    }
    rest_.remove_prefix(size);
    return item;
}

std::string_view cbor_reader::take(std::uint64_t size)
{
    if (failed_ || size > rest_.size())
    {
        return failure<std::string_view>();
    }
    const auto taken = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return taken;
}

}  // namespace caraway::routing
