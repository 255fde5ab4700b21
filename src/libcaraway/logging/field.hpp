#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/strong_id.hpp"
#include "libcaraway/logging/secret.hpp"

#include <QString>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace caraway::logging
{

/// A key with a typed value that accompanies the message of a log line. Keys are snake_case
/// literals from the source code; values may be untrusted, and are escaped and truncated when
/// written.
class field
{
public:
    using value_type = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

    field(std::string_view key, std::string_view value) : key_(key), value_(std::string(value)) {}
    field(std::string_view key, const char* value) : field(key, std::string_view(value)) {}
    field(std::string_view key, const std::string& value) : field(key, std::string_view(value)) {}
    field(std::string_view key, const QString& value) : key_(key), value_(value.toStdString()) {}
    field(std::string_view key, const secret&) : key_(key), value_(std::string("***")) {}
    field(std::string_view key, bool value) : key_(key), value_(value) {}
    field(std::string_view key, double value) : key_(key), value_(value) {}

    template <class Tag>
    field(std::string_view key, const base::strong_id<Tag>& id)
        : field(key, std::string_view(id.str()))
    {
    }

    template <std::signed_integral Integer>
    field(std::string_view key, Integer value) : key_(key), value_(static_cast<std::int64_t>(value))
    {
    }

    template <std::unsigned_integral Integer>
    field(std::string_view key, Integer value)
        : key_(key), value_(static_cast<std::uint64_t>(value))
    {
    }

    /// Enumerations used as strong integer types, such as an incarnation or a configuration
    /// version.
    template <class Enum>
    requires std::is_enum_v<Enum> field(std::string_view key, Enum value)
        : field(key, static_cast<std::underlying_type_t<Enum>>(value))
    {
    }

    const std::string& key() const
    {
        return key_;
    }
    const value_type& value() const
    {
        return value_;
    }

private:
    std::string key_;
    value_type value_;
};

/// The `request_id` field, which all log lines about one request share.
inline field request_field(const base::request_id& id)
{
    return {"request_id", id};
}

}  // namespace caraway::logging
