#pragma once

#include <string>
#include <string_view>

namespace caraway::net
{

// The character classes of RFC 9110 and RFC 9112, and comparisons that depend on no locale.

/// Whether the text is a non-empty run of the characters allowed in methods and field names.
bool is_token(std::string_view text);
bool is_digits(std::string_view text);
/// Control characters other than the tab, which field values may contain.
bool is_control(char c);
bool is_visible_ascii(char c);
/// -1 for what is no hexadecimal digit.
int hex_value(char c);
std::string lower_case(std::string_view text);
bool equal_ignoring_case(std::string_view a, std::string_view b);
/// Without spaces and tabs at either end.
std::string_view trimmed(std::string_view text);

}  // namespace caraway::net
