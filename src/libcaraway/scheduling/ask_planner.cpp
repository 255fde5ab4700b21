#include "libcaraway/scheduling/ask_planner.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace caraway::scheduling
{

ask_planner::ask_planner(node_context& context) : context_(context) {}

void ask_planner::note_free(const base::node_ref& owner, const std::vector<free_slots>& free,
                            base::time_point now)
{
    for (auto& [service, owners] : hints_)
    {
        owners.erase(owner);
    }
    const auto until = now + context_.options.free_hint_lifetime;
    for (const auto& each : free)
    {
        hints_[each.service][owner] = {.free = each.free, .until = until};
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
        current = {.asked = current.asked, .widened = false, .next = std::nullopt};
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
        current.next = base::time_point::min();
    }
    for (auto& [service, owners] : hints_)
    {
        std::erase_if(owners, [this](const auto& each) { return !context_.view.find(each.first); });
    }
}

std::optional<base::time_point> ask_planner::next_wakeup() const
{
    std::optional<base::time_point> next;
    for (const auto& [service, current] : plans_)
    {
        if (current.next && (!next || *current.next < *next))
        {
            next = current.next;
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
        const auto known = hints.find(owner);
        const bool fresh = known != hints.end() && known->second.until > now;
        entry = {.owner = owner,
                 .free = fresh ? known->second.free : 0,
                 .near = upstream->zone == own_zone,
                 .lot = context_.options.random()};
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
                  return std::tuple(a.free > 0, a.preferred, a.near, a.lot) >
                         std::tuple(b.free > 0, b.preferred, b.near, b.lot);
              });
    return ranked;
}

std::set<base::node_ref> ask_planner::choose(const base::service_id& service, plan& current,
                                             std::uint32_t waiting,
                                             const std::optional<base::node_ref>& preferred,
                                             base::time_point now)
{
    const bool time_over = current.next && *current.next <= now;
    const bool first_choice = current.asked.empty();
    if (!first_choice && !time_over && current.widened)
    {
        return current.asked;
    }
    const auto ranked = rank(service, preferred, now);
    if (!current.widened && (first_choice || !time_over))
    {
        if (auto few = choose_first(ranked, waiting))
        {
            current.next =
                first_choice ? now + context_.options.first_owners_timeout : current.next;
            few->insert(current.asked.begin(), current.asked.end());
            return *few;
        }
    }
    auto chosen = choose_widely(ranked, kept(current.asked), preferred);
    const bool all = chosen.size() == ranked.size();
    current.widened = true;
    current.next = all ? std::nullopt : std::optional(now + context_.options.report_refresh);
    return chosen;
}

std::optional<std::set<base::node_ref>>
ask_planner::choose_first(const std::vector<ranked_owner>& ranked, std::uint32_t waiting) const
{
    std::set<base::node_ref> chosen;
    base::slots free = 0;
    for (const auto& each : ranked)
    {
        if (each.owner == context_.view.self())
        {
            chosen.insert(each.owner);
        }
        else if (each.free > 0 && chosen.size() < context_.options.owners_asked_first)
        {
            chosen.insert(each.owner);
            free += each.free;
        }
    }
    return free >= waiting ? std::optional(chosen) : std::nullopt;
}

/// All but a few, so that the choice moves without most owners seeing demand come and go.
std::set<base::node_ref> ask_planner::kept(const std::set<base::node_ref>& asked)
{
    std::vector<base::node_ref> drawn(asked.begin(), asked.end());
    const auto limit = std::size_t{context_.options.owners_asked};
    const auto redrawn = std::size_t{context_.options.owners_resampled};
    while (!drawn.empty() && drawn.size() + redrawn > limit)
    {
        const auto lot = context_.options.random() % drawn.size();
        drawn.erase(drawn.begin() + static_cast<std::ptrdiff_t>(lot));
    }
    return {drawn.begin(), drawn.end()};
}

std::set<base::node_ref>
ask_planner::choose_widely(const std::vector<ranked_owner>& ranked, std::set<base::node_ref> chosen,
                           const std::optional<base::node_ref>& preferred) const
{
    std::erase_if(chosen,
                  [&](const base::node_ref& owner)
                  {
                      return std::none_of(ranked.begin(), ranked.end(),
                                          [&](const auto& each) { return each.owner == owner; });
                  });
    for (const auto& each : ranked)
    {
        const bool extra = each.owner == context_.view.self() || each.owner == preferred;
        if (extra || chosen.size() < context_.options.owners_asked)
        {
            chosen.insert(each.owner);
        }
    }
    return chosen;
}

}  // namespace caraway::scheduling
