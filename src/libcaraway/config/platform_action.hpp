#pragma once

#include "libcaraway/config/records.hpp"

#include <QByteArray>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace caraway::config
{

/// Consistent read of one row.
struct read_row
{
    row_key key;
};

/// Conditional write of one row: only at revision `expected_rev`, or, when that is empty, only if
/// the row doesn't exist.
struct put_row
{
    row_key key;
    std::optional<std::uint64_t> expected_rev;
    QByteArray body;

    friend bool operator==(const put_row&, const put_row&) = default;
};

struct get_object
{
    std::string name;
};

struct put_object
{
    std::string name;
    QByteArray bytes;
};

/// Atomic write of several rows: all of them or none.
struct transact
{
    std::vector<put_row> puts;
    /// ClientRequestToken, for idempotency: equal for equal writes, at most 36 characters.
    std::string token;
};

using platform_action = std::variant<read_row, put_row, get_object, put_object, transact>;

enum class reply_status
{
    ok,
    not_found,    ///< No such row or object.
    conflict,     ///< A condition failed; nothing was written.
    unavailable,  ///< The action certainly had no effect.
    lost,         ///< No answer; a write may or may not have taken effect.
};

struct row
{
    std::uint64_t rev = 0;
    QByteArray body;
};

/// The platform's answer to the last action.
struct platform_reply
{
    reply_status status = reply_status::ok;
    /// The row; set for a read_row that is ok.
    std::optional<row> found;
    /// The object's content; set for a get_object that is ok.
    QByteArray object;
};

}  // namespace caraway::config
