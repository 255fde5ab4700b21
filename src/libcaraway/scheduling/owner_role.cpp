#include "libcaraway/scheduling/owner_role.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace caraway::scheduling
{

namespace
{

/// A router that misses this many reports in a row is taken to run nothing at this owner's
/// upstreams.
constexpr int max_missed_reports = 3;

std::optional<base::time_point> earliest(std::optional<base::time_point> first,
                                         std::optional<base::time_point> second)
{
    return !first ? second : !second ? first : std::min(first, second);
}

}  // namespace

owner_role::owner_role(node_context& context, totals_role& totals)
    : context_(context), totals_(totals), ledger_(context), sender_(context.options),
      affinity_(context.options.affinity_entries),
      picker_(context, totals, board_, sender_, ledger_, affinity_)
{
}

void owner_role::view_changed(base::time_point now)
{
    const auto alive = [this](const base::node_ref& node)
    {
        return context_.view.find(node) != nullptr;
    };
    const auto should_withdraw = [&](const base::node_ref& router, const grant& given)
    {
        return !alive(router) || context_.view.owners().count(given.upstream) == 0 ||
               context_.view.owners().at(given.upstream) != context_.view.self();
    };
    for (const auto& [router, given] : sender_.withdraw(should_withdraw))
    {
        release_grant(router, given);
    }
    sender_.retain(alive);
    board_.retain(alive);
    std::erase_if(declined_, [&](const auto& entry) { return !alive(std::get<0>(entry.first)); });
    ledger_.view_changed(now);
    // Routers may have reported what they run at an upstream before this node became its owner.
    for (const auto& [router, entry] : board_.all())
    {
        ledger_.set_held(router, entry.report.holdings);
    }
}

void owner_role::receive(const base::node_ref& router, const router_report& report,
                         base::time_point now)
{
    if (report.owner_incarnation != context_.view.self().life ||
        !board_.record_report(router, report, now))
    {
        ++context_.counters.messages_dropped;
        return;
    }
    acknowledge(router, report, now);
    ledger_.set_held(router, report.holdings);
}

void owner_role::acknowledge(const base::node_ref& router, const router_report& report,
                             base::time_point now)
{
    const std::set<base::grant_number> declined(report.declined.begin(), report.declined.end());
    for (const auto& given : sender_.acknowledge(router, report.last_grant))
    {
        ledger_.remove_grant(given.upstream);
        if (router == context_.view.self())
        {
            // A grant that this node bound itself is already in its own total.
            totals_.pending().remove(router, given.number);
        }
        if (!declined.contains(given.number))
        {
            continue;
        }
        totals_.pending().remove(router, given.number);
        const account key{.service = given.service, .workspace = given.workspace};
        const bool has_demand = std::any_of(report.demands.begin(), report.demands.end(),
                                            [&](const demand& reported) {
                                                return reported.service == key.service &&
                                                       reported.workspace == key.workspace;
                                            });
        if (has_demand)
        {
            // Without a back-off, offers and refusals would follow each other as fast as messages
            // travel.
            declined_[{router, given.upstream, key}] = now + context_.options.decline_backoff;
        }
    }
}

void owner_role::release_grant(const base::node_ref& router, const grant& given)
{
    ledger_.remove_grant(given.upstream);
    totals_.pending().remove(router, given.number);
}

void owner_role::observe_load(const base::upstream_id& upstream, base::slots running,
                              base::slots waiting, base::duration age, base::time_point now)
{
    ledger_.observe_load(upstream, running, waiting, now - age, now);
}

void owner_role::run(base::time_point now)
{
    expire_stale(now);
    ledger_.finish_takeovers(
        [this](const base::node_ref& router, const std::vector<std::uint64_t>& views)
        {
            const auto* entry = board_.find(router);
            return entry &&
                   std::find(views.begin(), views.end(), entry->report.view) != views.end();
        },
        now);
    grant_free_slots(now);
    send_grants(now);
    send_hints(now);
}

void owner_role::expire_stale(base::time_point now)
{
    for (const auto& [router, given] : sender_.reclaim(now))
    {
        ++context_.counters.grants_reclaimed;
        release_grant(router, given);
        board_.clear_demand(router);
    }
    const auto max_age = max_missed_reports * context_.options.report_slow_refresh;
    const auto silent_routers = board_.expire(max_age, now);
    for (const auto& router : silent_routers)
    {
        ledger_.set_held(router, {});
    }
    std::erase_if(declined_, [now](const auto& entry) { return entry.second <= now; });
}

void owner_role::grant_free_slots(base::time_point now)
{
    const auto rule = [this, now](const base::node_ref& router, const base::upstream_id& upstream,
                                  const account& key)
    {
        return may_offer(router, upstream, key, now);
    };
    for (const auto& service : ledger_.services())
    {
        while (const auto picked = picker_.next(service, rule, now))
        {
            totals_.record_granted(picked->key, now);
            const auto number = sender_.add(picked->router, picked->upstream, picked->key, now);
            ledger_.add_grant(picked->upstream);
            totals_.pending().add(picked->router, number, picked->key, picked->estimate, now);
            affinity_.record(picked->affinity, picked->upstream);
            ++context_.counters.grants_made;
        }
    }
}

bool owner_role::may_offer(const base::node_ref& router, const base::upstream_id& upstream,
                           const account& key, base::time_point now) const
{
    const auto declined = declined_.find({router, upstream, key});
    if (declined != declined_.end() && declined->second > now)
    {
        return false;
    }
    const auto& ejected = board_.find(router)->report.ejected;
    return std::find(ejected.begin(), ejected.end(), upstream) == ejected.end();
}

void owner_role::send_grants(base::time_point now)
{
    for (const auto& router : sender_.due(now))
    {
        context_.out.send(router, grant_list{.router_incarnation = router.life,
                                             .grants = sender_.list_for(router, now),
                                             .free = current_free_slots()});
    }
}

/// Routers that do not ask this owner cannot know that it has free slots.
void owner_role::send_hints(base::time_point now)
{
    if (now < next_hint_ || !asked_by_subset())
    {
        return;
    }
    next_hint_ = now + context_.options.report_refresh;
    const auto free = current_free_slots();
    if (free.empty())
    {
        return;
    }
    const auto& members = context_.view.members();
    for (std::uint32_t i = 0; i < context_.options.free_hints_sent; ++i)
    {
        const auto& router = members[context_.options.random() % members.size()].node;
        if (router != context_.view.self())
        {
            context_.out.send(router, grant_list{.router_incarnation = router.life,
                                                 .grants = sender_.list_for(router, now),
                                                 .free = free});
        }
    }
}

bool owner_role::asked_by_subset() const
{
    return context_.options.mode == policy::full &&
           context_.view.members().size() > context_.options.owners_asked;
}

std::vector<free_slots> owner_role::current_free_slots() const
{
    std::vector<free_slots> hints;
    for (const auto& service : ledger_.services())
    {
        base::slots free = 0;
        for (const auto& id : ledger_.free_upstreams(service))
        {
            free += ledger_.free(id);
        }
        if (free > 0)
        {
            hints.push_back({.service = service, .free = free});
        }
    }
    return hints;
}

std::optional<base::time_point> owner_role::next_wakeup() const
{
    auto next = earliest(ledger_.next_wakeup(), sender_.next_wakeup());
    for (const auto& [offer, until] : declined_)
    {
        next = earliest(next, until);
    }
    if (asked_by_subset() && !current_free_slots().empty())
    {
        next = earliest(next, next_hint_);
    }
    return next;
}

std::vector<account> owner_role::demanded() const
{
    return board_.accounts_with_demand();
}

void owner_role::fill(scheduler_snapshot& snapshot, base::time_point now) const
{
    snapshot.owned = ledger_.states();
    snapshot.grants = sender_.states(now);
    for (auto& state : snapshot.accounts)
    {
        state.demanded = board_.waiting(state.key);
    }
}

}  // namespace caraway::scheduling
