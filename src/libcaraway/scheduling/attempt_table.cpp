#include "libcaraway/scheduling/attempt_table.hpp"

#include <utility>

namespace caraway::scheduling
{

void attempt_table::add(attempt started)
{
    ++held_[started.upstream];
    const auto number = started.bound.number;
    attempts_.emplace(number, std::move(started));
}

attempt* attempt_table::find(base::request_number number)
{
    const auto found = attempts_.find(number);
    return found == attempts_.end() ? nullptr : &found->second;
}

std::optional<attempt> attempt_table::remove(base::request_number number)
{
    auto node = attempts_.extract(number);
    if (node.empty())
    {
        return std::nullopt;
    }
    const auto held_count = held_.find(node.mapped().upstream);
    if (--held_count->second == 0)
    {
        held_.erase(held_count);
    }
    return std::move(node.mapped());
}

base::slots attempt_table::held(const base::upstream_id& upstream) const
{
    const auto found = held_.find(upstream);
    return found == held_.end() ? 0 : found->second;
}

std::map<base::upstream_id, base::slots>
attempt_table::granted_by(const base::node_ref& owner) const
{
    std::map<base::upstream_id, base::slots> upstreams;
    for (const auto& [number, running] : attempts_)
    {
        if (running.owner == owner)
        {
            ++upstreams[running.upstream];
        }
    }
    return upstreams;
}

const std::map<base::upstream_id, base::slots>& attempt_table::held() const
{
    return held_;
}

const std::map<base::request_number, attempt>& attempt_table::all() const
{
    return attempts_;
}

}  // namespace caraway::scheduling
