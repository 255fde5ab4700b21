#include "libcaraway/scheduling/pending_charges.hpp"

#include <algorithm>

namespace caraway::scheduling
{

void pending_charges::add(const base::node_ref& router, base::grant_number number,
                          const account& key, base::cost estimate, base::time_point now)
{
    charges_[{router, number}] = {.key = key, .estimate = estimate, .charged_at = now};
    sums_[key] += estimate;
}

void pending_charges::remove(const base::node_ref& router, base::grant_number number)
{
    const auto found = charges_.find({router, number});
    if (found != charges_.end())
    {
        erase(found);
    }
}

void pending_charges::expire(const std::function<base::duration(const account&)>& lifetime,
                             base::time_point now)
{
    for (auto position = charges_.begin(); position != charges_.end();)
    {
        const bool expired = now - position->second.charged_at >= lifetime(position->second.key);
        position = expired ? erase(position) : std::next(position);
    }
}

base::cost pending_charges::total(const account& key) const
{
    const auto found = sums_.find(key);
    return found == sums_.end() ? base::cost{} : found->second;
}

std::map<pending_charges::charge_id, pending_charges::charge>::iterator
pending_charges::erase(std::map<charge_id, charge>::iterator position)
{
    const auto key = position->second.key;
    sums_[key] -= position->second.estimate;
    const auto next = charges_.erase(position);
    const bool has_more = std::any_of(charges_.begin(), charges_.end(),
                                      [&](const auto& other) { return other.second.key == key; });
    if (!has_more)
    {
        // Erased rather than left at the result of the subtraction, which has rounding errors.
        sums_.erase(key);
    }
    return next;
}

}  // namespace caraway::scheduling
