#include "standin_platform/table.hpp"

#include <algorithm>

namespace standin_platform
{

std::vector<bool> table::commit(const std::vector<write>& writes)
{
    std::vector<bool> held;
    held.reserve(writes.size());
    for (const auto& one : writes)
    {
        held.push_back(holds(one));
    }
    if (std::find(held.begin(), held.end(), false) != held.end())
    {
        return held;
    }
    for (const auto& one : writes)
    {
        if (one.what == write::kind::put)
        {
            items_[one.key] = one.content;
        }
        else if (one.what == write::kind::erase)
        {
            items_.erase(one.key);
        }
    }
    return held;
}

std::optional<item> table::find(const item_key& key) const
{
    const auto found = items_.find(key);
    if (found == items_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::vector<item> table::query(const QString& pk, const QString& prefix) const
{
    std::vector<item> found;
    for (auto one = items_.lower_bound({.pk = pk, .sk = prefix}); one != items_.end(); ++one)
    {
        if (one->first.pk != pk || !one->first.sk.startsWith(prefix))
        {
            break;
        }
        found.push_back(one->second);
    }
    return found;
}

bool table::holds(const write& one) const
{
    const auto found = items_.find(one.key);
    if (std::holds_alternative<must_not_exist>(one.must))
    {
        return found == items_.end();
    }
    if (const auto* revision = std::get_if<must_have_revision>(&one.must))
    {
        return found != items_.end() &&
               found->second[QLatin1String("rev")][QLatin1String("N")].toString() == revision->rev;
    }
    return true;
}

}  // namespace standin_platform
