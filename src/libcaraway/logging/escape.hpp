#pragma once

#include <QString>

#include <string>

namespace caraway::logging
{

/// Converts untrusted text to UTF-8 for display: line breaks and terminal control characters are
/// escaped, so that the result is a single line.
std::string printable(const QString& text);

/// Like printable(), but also escapes quotes and backslashes for use within a JSON string.
std::string escaped(const QString& text);

}  // namespace caraway::logging
