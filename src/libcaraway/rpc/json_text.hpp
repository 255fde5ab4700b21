#pragma once

#include <jsoncpp/json/value.h>
#include <QJsonValue>

#include <optional>
#include <string>
#include <string_view>

namespace caraway::rpc
{

/// Nesting of arrays and objects that is read.
inline constexpr int max_json_depth = 64;

/// Whether arrays and objects nest no deeper than `max_json_depth`. The JSON-RPC library's parser
/// throws at a thousand levels, in its client through a function that may not throw that, which
/// ends the process; so deeper text must not reach it. Looks at brackets only; text that is no JSON
/// may pass.
bool nesting_is_bounded(std::string_view text);

/// Whether the text is one value in strict JSON and UTF-8. The library's parser lets comments and
/// whatever follows the value pass.
bool is_strict(std::string_view text);

/// Between the JSON types of Qt and of the JSON-RPC library.
QJsonValue to_qt(const Json::Value& value);
Json::Value from_qt(const QJsonValue& value);

}  // namespace caraway::rpc
