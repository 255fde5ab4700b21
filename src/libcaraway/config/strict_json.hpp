#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <optional>
#include <string>
#include <vector>

namespace caraway::config
{

/// What is wrong at one place of a JSON text.
struct json_error
{
    std::string pointer;
    std::string message;
};

/// What was read, and all that is wrong with it. With members that stand twice there is an object
/// too, so that its other faults can be reported along with them.
struct json_parse_result
{
    std::optional<QJsonObject> object;
    std::vector<json_error> faults;
};

/// Parses a JSON object and refuses what Qt's parser lets pass: it keeps the last of two members of
/// one name and says nothing, so that half of what an operator wrote would be ignored silently.
/// Nesting deeper than `max_depth` is refused too.
json_parse_result parse_strict_json(const QByteArray& bytes, int max_depth);

}  // namespace caraway::config
