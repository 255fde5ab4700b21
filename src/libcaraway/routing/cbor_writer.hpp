#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace caraway::routing
{

/// Appends data items in CBOR (RFC 8949) to a string, each in its shortest form.
class cbor_writer
{
public:
    explicit cbor_writer(std::string& out) : out_(out) {}

    /// Begins an array; `size` items must follow.
    void array(std::size_t size);
    void text(std::string_view value);
    void boolean(bool value);
    void unsigned_integer(std::uint64_t value);
    void integer(std::int64_t value);
    /// Floating-point even if the value is whole; in single precision if that is exact.
    void real(double value);

private:
    void head(std::uint8_t major_type, std::uint64_t argument);
    template <class Unsigned>
    void big_endian(std::uint8_t initial_byte, Unsigned argument);

    std::string& out_;
};

}  // namespace caraway::routing
