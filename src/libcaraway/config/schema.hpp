#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <string>
#include <vector>

namespace caraway::config
{

/// The JSON schemas of the folder schemas/, which are compiled into the program.
enum class schema_name
{
    configuration,
    settings,
};

const QByteArray& schema_text(schema_name name);

enum class violation_kind
{
    wrong_value,
    unknown_member,
    missing_member,
};

/// A violation of a schema at one location of a value.
struct violation
{
    violation_kind kind = violation_kind::wrong_value;
    /// JSON pointer to the invalid value, or to the unknown or missing member.
    std::string pointer;
    /// The expected value and the actual one.
    std::string message;
};

/// All violations of a schema, in the order of their pointers.
std::vector<violation> check_schema(schema_name name, const QJsonObject& value);

}  // namespace caraway::config
