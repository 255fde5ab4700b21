#pragma once

#include <QJsonValue>
#include <QString>

#include <optional>
#include <string>
#include <vector>

namespace caraway::config
{

/// Pointer to a member of the value at `parent`, escaped according to RFC 6901.
std::string child_pointer(const std::string& parent, const QString& member);
std::string child_pointer(const std::string& parent, std::size_t index);

/// Pointer to the object or array that contains a pointer's value; empty for the root.
std::string parent_pointer(const std::string& pointer);

/// The unescaped reference tokens of a pointer; empty optional when the pointer is malformed.
std::optional<std::vector<QString>> pointer_steps(const std::string& pointer);

/// The value at a pointer; undefined when there is none or the pointer is malformed.
QJsonValue value_at(QJsonValue root, const std::string& pointer);

}  // namespace caraway::config
