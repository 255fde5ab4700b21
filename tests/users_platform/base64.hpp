#pragma once

#include <string>

namespace users_platform_tests
{

// Implemented independently of the product's codec, so that a fault there isn't masked by the same
// fault here.

inline const std::string base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string to_base64(const std::string& bytes)
{
    std::string encoded;
    for (std::size_t offset = 0; offset < bytes.size(); offset += 3)
    {
        const auto byte = [&](std::size_t index)
        {
            return index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U;
        };
        const unsigned group = byte(offset) << 16U | byte(offset + 1) << 8U | byte(offset + 2);
        encoded += base64_digits[group >> 18U & 63U];
        encoded += base64_digits[group >> 12U & 63U];
        encoded += offset + 1 < bytes.size() ? base64_digits[group >> 6U & 63U] : '=';
        encoded += offset + 2 < bytes.size() ? base64_digits[group & 63U] : '=';
    }
    return encoded;
}

inline std::string from_base64(const std::string& text)
{
    std::string decoded;
    unsigned group = 0;
    int bits = 0;
    for (const char digit : text)
    {
        const auto value = base64_digits.find(digit);
        if (value == std::string::npos)
        {
            break;
        }
        group = group << 6U | static_cast<unsigned>(value);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            decoded += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return decoded;
}

}  // namespace users_platform_tests
