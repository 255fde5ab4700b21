#pragma once

#include "standin_platform/item.hpp"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace standin_platform
{

/// No item of that key may exist.
struct must_not_exist
{
};

/// The item must exist and its `rev` have this value.
struct must_have_revision
{
    QString rev;
};

using condition = std::variant<std::monostate, must_not_exist, must_have_revision>;

/// One write of a transaction. Without an item it deletes, or only checks.
struct write
{
    enum class kind
    {
        put,
        erase,
        check,
    };
    kind what = kind::put;
    item_key key;
    item content;
    condition must;
};

/// The one table, in memory.
class table
{
public:
    /// Does all writes, or none. For each, whether its condition held.
    std::vector<bool> commit(const std::vector<write>& writes);

    std::optional<item> find(const item_key& key) const;
    /// Items of a partition whose sort keys begin with the prefix, in order.
    std::vector<item> query(const QString& pk, const QString& prefix) const;

private:
    bool holds(const write& one) const;

    std::map<item_key, item> items_;
};

}  // namespace standin_platform
