#include "libcaraway/net/http_syntax.hpp"

#include <algorithm>

namespace caraway::net
{

namespace
{

constexpr char case_bit = 0x20;

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c | case_bit) : c;
}

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_token_char(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (lower(c) >= 'a' && lower(c) <= 'z') ||
           symbols.find(c) != std::string_view::npos;
}

}  // namespace

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_digits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

bool is_control(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool is_visible_ascii(char c)
{
    return c > 0x20 && c < 0x7f;
}

int hex_value(char c)
{
    if (is_digit(c))
    {
        return c - '0';
    }
    const char letter = lower(c);
    return letter >= 'a' && letter <= 'f' ? letter - 'a' + 10 : -1;
}

std::string lower_case(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), lower);
    return result;
}

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace caraway::net
