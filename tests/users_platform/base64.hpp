#pragma once

#include <string>

namespace users_platform_tests
{

// Written apart from the product's own codec, so that a fault there can't hide itself.

inline const std::string base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string to_base64(const std::string& bytes)
{
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        const auto byte = [&](std::size_t index)
        {
            return index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U;
        };
        const unsigned group = byte(at) << 16U | byte(at + 1) << 8U | byte(at + 2);
        out += base64_digits[group >> 18U & 63U];
        out += base64_digits[group >> 12U & 63U];
        out += at + 1 < bytes.size() ? base64_digits[group >> 6U & 63U] : '=';
        out += at + 2 < bytes.size() ? base64_digits[group & 63U] : '=';
    }
    return out;
}

inline std::string from_base64(const std::string& text)
{
    std::string out;
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
            out += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

}  // namespace users_platform_tests
