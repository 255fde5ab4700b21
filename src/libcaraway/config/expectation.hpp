#pragma once

#include <QJsonObject>
#include <QJsonValue>

#include <string>

namespace caraway::config
{

/// The subschema that applies to the value at a pointer; empty when the schema has none for it.
QJsonObject subschema_at(const QJsonObject& root, const std::string& pointer);

/// Describes the values that a subschema permits, such as "an integer from 1 to 65535".
std::string expectation(const QJsonObject& root, const QJsonObject& subschema);

/// Describes a value, shortened. For a string that the schema marks as a secret ("writeOnly") only
/// the length is given: a key entered in place of its hash must not appear in a log.
std::string description(const QJsonObject& subschema, const QJsonValue& value);

/// Whether a subschema permits a member of this name.
bool allows_member(const QJsonObject& subschema, const QString& member);
/// Describes the member names that a subschema permits, for error messages.
std::string listed_members(const QJsonObject& subschema);

}  // namespace caraway::config
