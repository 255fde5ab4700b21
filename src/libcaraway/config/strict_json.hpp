#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <optional>
#include <string>
#include <vector>

namespace caraway::config
{

/// An error at one location of a JSON text.
struct json_error
{
    std::string pointer;
    std::string message;
};

/// Result of parsing, with all errors found. An object with duplicate members is returned along
/// with the errors, so that its other problems can be reported at the same time.
struct json_parse_result
{
    std::optional<QJsonObject> object;
    std::vector<json_error> errors;
};

/// Parses a JSON object and refuses duplicate members: Qt's parser keeps the last of two members of
/// one name without an error, so that part of an operator's input would be ignored silently.
/// Nesting deeper than `max_depth` is refused too.
json_parse_result parse_strict_json(const QByteArray& bytes, int max_depth);

}  // namespace caraway::config
