#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace caraway::net
{

/// Counts the writes of one row, from 1; rises by one with each.
enum class row_revision : std::uint64_t
{
};

/// One row of the platform's table.
struct platform_row
{
    std::string pk{};
    std::string sk{};
    /// As read; a put writes the successor of what its condition demands.
    row_revision rev{};
    QJsonObject body{};

    friend bool operator==(const platform_row&, const platform_row&) = default;
};

/// What must hold of a row for a write to take effect.
struct write_condition
{
    enum class kind
    {
        none,
        absent,
        at_revision,
    };
    kind what = kind::none;
    row_revision rev{};

    /// Writes whatever is there; the new revision is the successor of the given row's.
    static write_condition none()
    {
        return {};
    }
    /// Only if there is no such row yet.
    static write_condition absent()
    {
        return {.what = kind::absent};
    }
    /// Only if the row is still the one that was read.
    static write_condition at(row_revision rev)
    {
        return {.what = kind::at_revision, .rev = rev};
    }
};

/// One part of a transaction; of a removal's row only the key counts.
struct platform_write
{
    enum class kind
    {
        put,
        remove,
    };
    kind what = kind::put;
    platform_row row{};
    write_condition condition{};
};

/// A machine by the platform's own name for it.
using vm_id = base::strong_id<struct vm_tag>;

/// One entry of the platform's VM list.
struct vm
{
    vm_id id{};
    std::string address{};  ///< IP address.
    base::zone_id zone{};
    bool leaving = false;

    friend bool operator==(const vm&, const vm&) = default;
};

/// The platform's view of its VMs; it lags.
struct vm_list
{
    std::vector<vm> vms{};
    std::string as_of{};  ///< RFC 3339, the platform's own clock.
    std::size_t answer_bytes = 0;
};

/// What a router asks of the platform.
enum class platform_operation
{
    get,
    query,
    put,
    remove,
    transact,
    get_object,
    put_object,
    list_vms,
};
constexpr std::size_t platform_operation_count = 8;

/// The operation's name in dumps and metrics, as in "get_object".
const char* name(platform_operation operation);

/// Gets the outcome of an operation, later and in the same thread; never within the call.
template <class T>
using platform_callback = std::function<void(base::result<T>)>;

}  // namespace caraway::net
