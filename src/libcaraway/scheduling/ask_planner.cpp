#include "libcaraway/scheduling/ask_planner.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace caraway::scheduling
{

ask_planner::ask_planner(node_context& context) : context_(context) {}

void ask_planner::record_free_slots(const base::node_ref& owner,
                                    const std::vector<free_slots>& free, base::time_point now)
{
    for (auto& [service, owners] : hints_)
    {
        owners.erase(owner);
    }
    const auto expires = now + context_.options.free_hint_lifetime;
    for (const auto& announced : free)
    {
        hints_[announced.service][owner] = {.free = announced.free, .expires = expires};
    }
}

std::vector<base::node_ref> ask_planner::update(const base::service_id& service,
                                                std::uint32_t waiting,
                                                const std::optional<base::node_ref>& preferred,
                                                base::time_point now)
{
    auto& current = plans_[service];
    std::set<base::node_ref> chosen;
    if (waiting > 0)
    {
        chosen = choose(service, current, waiting, preferred, now);
    }
    else
    {
        current = {.asked = current.asked, .widened = false, .next_update = std::nullopt};
    }
    std::vector<base::node_ref> changed;
    std::set_symmetric_difference(chosen.begin(), chosen.end(), current.asked.begin(),
                                  current.asked.end(), std::back_inserter(changed));
    current.asked = std::move(chosen);
    return changed;
}

const std::set<base::node_ref>& ask_planner::asked(const base::service_id& service) const
{
    static const std::set<base::node_ref> none;
    const auto found = plans_.find(service);
    return found == plans_.end() ? none : found->second.asked;
}

bool ask_planner::widened(const base::service_id& service) const
{
    const auto found = plans_.find(service);
    return found != plans_.end() && found->second.widened;
}

bool ask_planner::is_asked(const base::service_id& service, const base::node_ref& owner) const
{
    return asked(service).contains(owner);
}

void ask_planner::view_changed()
{
    for (auto& [service, current] : plans_)
    {
        current.next_update = base::time_point::min();
    }
    for (auto& [service, owners] : hints_)
    {
        std::erase_if(owners,
                      [this](const auto& entry) { return !context_.view.find(entry.first); });
    }
}

std::optional<base::time_point> ask_planner::next_wakeup() const
{
    std::optional<base::time_point> next;
    for (const auto& [service, current] : plans_)
    {
        if (current.next_update && (!next || *current.next_update < *next))
        {
            next = current.next_update;
        }
    }
    return next;
}

std::vector<ask_planner::ranked_owner>
ask_planner::rank(const base::service_id& service, const std::optional<base::node_ref>& preferred,
                  base::time_point now)
{
    const auto& self = context_.view.self();
    const auto own_zone = context_.view.find(self)->zone;
    auto& hints = hints_[service];
    std::map<base::node_ref, ranked_owner> owners;
    for (const auto& id : context_.directory.upstreams_of(service))
    {
        const auto* upstream = context_.directory.upstream(id);
        const auto& owner = context_.view.owners().at(id);
        auto& entry = owners[owner];
        if (entry.owner == owner)
        {
            entry.near = entry.near || upstream->zone == own_zone;
            continue;
        }
        const auto found_hint = hints.find(owner);
        const bool is_valid = found_hint != hints.end() && found_hint->second.expires > now;
        entry = {.owner = owner,
                 .free = is_valid ? found_hint->second.free : 0,
                 .near = upstream->zone == own_zone,
                 .tie_breaker = context_.options.random()};
    }
    std::vector<ranked_owner> ranked;
    for (auto& [owner, entry] : owners)
    {
        entry.preferred = owner == preferred;
        ranked.push_back(std::move(entry));
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_owner& a, const ranked_owner& b)
              {
                  return std::tuple(a.free > 0, a.preferred, a.near, a.tie_breaker) >
                         std::tuple(b.free > 0, b.preferred, b.near, b.tie_breaker);
              });
    return ranked;
}

std::set<base::node_ref> ask_planner::choose(const base::service_id& service, plan& current,
                                             std::uint32_t waiting,
                                             const std::optional<base::node_ref>& preferred,
                                             base::time_point now)
{
    const bool is_due = current.next_update && *current.next_update <= now;
    const bool is_first_choice = current.asked.empty();
    if (!is_first_choice && !is_due && current.widened)
    {
        return current.asked;
    }
    const auto ranked = rank(service, preferred, now);
    if (!current.widened && (is_first_choice || !is_due))
    {
        if (auto few = choose_first(ranked, waiting))
        {
            current.next_update =
                is_first_choice ? now + context_.options.first_owners_timeout : current.next_update;
            few->insert(current.asked.begin(), current.asked.end());
            return *few;
        }
    }
    auto chosen = choose_widely(ranked, retain_some(current.asked), preferred);
    const bool all = chosen.size() == ranked.size();
    current.widened = true;
    current.next_update = all ? std::nullopt : std::optional(now + context_.options.report_refresh);
    return chosen;
}

std::optional<std::set<base::node_ref>>
ask_planner::choose_first(const std::vector<ranked_owner>& ranked, std::uint32_t waiting) const
{
    std::set<base::node_ref> chosen;
    base::slots free = 0;
    for (const auto& candidate : ranked)
    {
        if (candidate.owner == context_.view.self())
        {
            chosen.insert(candidate.owner);
        }
        else if (candidate.free > 0 && chosen.size() < context_.options.owners_asked_first)
        {
            chosen.insert(candidate.owner);
            free += candidate.free;
        }
    }
    return free >= waiting ? std::optional(chosen) : std::nullopt;
}

/// Removes randomly chosen owners, so that others can take their place. The number of replaced
/// owners is limited: for most owners the demand of this router does not change.
std::set<base::node_ref> ask_planner::retain_some(const std::set<base::node_ref>& asked)
{
    std::vector<base::node_ref> remaining(asked.begin(), asked.end());
    const auto limit = std::size_t{context_.options.owners_asked};
    const auto replaced = std::size_t{context_.options.owners_resampled};
    while (!remaining.empty() && remaining.size() + replaced > limit)
    {
        const auto index = context_.options.random() % remaining.size();
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return {remaining.begin(), remaining.end()};
}

std::set<base::node_ref>
ask_planner::choose_widely(const std::vector<ranked_owner>& ranked, std::set<base::node_ref> chosen,
                           const std::optional<base::node_ref>& preferred) const
{
    std::erase_if(chosen,
                  [&](const base::node_ref& owner)
                  {
                      return std::none_of(ranked.begin(), ranked.end(),
                                          [&](const auto& candidate)
                                          { return candidate.owner == owner; });
                  });
    for (const auto& candidate : ranked)
    {
        const bool always_asked =
            candidate.owner == context_.view.self() || candidate.owner == preferred;
        if (always_asked || chosen.size() < context_.options.owners_asked)
        {
            chosen.insert(candidate.owner);
        }
    }
    return chosen;
}

}  // namespace caraway::scheduling
