#pragma once

#include <cstdint>
#include <limits>
#include <string_view>

namespace caraway::routing
{

/// Reads data items in CBOR (RFC 8949) from bytes that anybody may have sent.
///
/// After the first item that is malformed, cut off or of another type than asked for, `failed` is
/// true and all further reads return 0, false or nothing. Neither time nor memory grow beyond what
/// the bytes themselves amount to, whatever lengths they claim. Items of indefinite length and tags
/// are refused.
class cbor_reader
{
public:
    explicit cbor_reader(std::string_view bytes) : rest_(bytes) {}

    bool failed() const
    {
        return failed_;
    }
    bool at_end() const
    {
        return rest_.empty();
    }

    /// Begins an array; returns the number of its items. Fails if there are fewer than `min_size`,
    /// or more than bytes are left.
    std::uint64_t array(std::uint64_t min_size = 0);
    /// Valid as long as the bytes are.
    std::string_view text();
    bool boolean();
    /// Any number, as the nearest floating-point one.
    double real();
    /// An integer, or a floating-point number without its fraction. Fails if `Integer` can't hold
    /// it.
    template <class Integer>
    Integer integer()
    {
        using limits = std::numeric_limits<Integer>;
        const auto value = number();
        if (value.is_negative)
        {
            const auto magnitude = static_cast<std::int64_t>(value.magnitude);
            const bool fits = limits::is_signed && -magnitude - 1 >= signed_minimum<Integer>();
            return fits ? static_cast<Integer>(-magnitude - 1) : failure<Integer>();
        }
        const bool fits = value.magnitude <= static_cast<std::uint64_t>(limits::max());
        return fits ? static_cast<Integer>(value.magnitude) : failure<Integer>();
    }
    /// Skips the next item with all that it holds, or `count` items.
    void skip(std::uint64_t count = 1);

private:
    struct item_head
    {
        std::uint8_t major_type = 0;
        std::uint8_t info = 0;
        std::uint64_t argument = 0;
    };
    /// The value, or -1 less the magnitude if it is negative. The magnitude of a negative number
    /// is at most that of an int64.
    struct whole_number
    {
        bool is_negative = false;
        std::uint64_t magnitude = 0;
    };

    template <class Integer>
    static constexpr std::int64_t signed_minimum()
    {
        using limits = std::numeric_limits<Integer>;
        return limits::is_signed ? static_cast<std::int64_t>(limits::min()) : 0;
    }
    template <class Value>
    Value failure()
    {
        failed_ = true;
        return {};
    }

    item_head head();
    whole_number number();
    whole_number whole_part(double value);
    /// The value of a floating-point item; fails if it is none.
    double floating(const item_head& item);
    /// Skips bytes of text, and returns the number of items that the item holds.
    std::uint64_t skip_content(const item_head& item);
    std::string_view take(std::uint64_t size);

    std::string_view rest_;
    bool failed_ = false;
};

}  // namespace caraway::routing
