#pragma once

#include "libcaraway/logging/field.hpp"
#include "libcaraway/logging/logger.hpp"

#include <chrono>
#include <span>
#include <string>
#include <string_view>

namespace caraway::logging
{

/// Content of one log line.
struct line
{
    std::chrono::system_clock::time_point time;
    level severity = level::info;
    std::string_view prefix;
    std::string_view message;
    std::span<const field> fields;
};

/// Renders the content without a line terminator. The result is a single line of valid UTF-8
/// shorter than `max_line_bytes`, even for untrusted text. Long texts are truncated and end in an
/// ellipsis; fields that don't fit are omitted, and the field `truncated` is then added.
std::string text_line(const line& content);
std::string json_line(const line& content);

/// Formats the time as RFC 3339 in UTC with milliseconds.
std::string rfc3339(std::chrono::system_clock::time_point time);

}  // namespace caraway::logging
