#include "libcaraway/scheduling/slot_ledger.hpp"

#include <algorithm>

namespace caraway::scheduling
{

base::slots slot_ledger::slot_record::total_held() const
{
    base::slots sum = 0;
    for (const auto& [router, count] : held)
    {
        sum += count;
    }
    return sum;
}

slot_ledger::slot_ledger(node_context& context) : context_(context) {}

void slot_ledger::view_changed(base::time_point now)
{
    const auto& view = context_.view;
    if (!view.members_known())
    {
        return;
    }
    std::erase_if(records_,
                  [&](const auto& entry)
                  {
                      const auto owner = view.owners().find(entry.first);
                      return owner == view.owners().end() || owner->second != view.self();
                  });
    for (const auto& [id, owner] : view.owners())
    {
        if (owner != view.self())
        {
            continue;
        }
        const auto& configured = *context_.directory.upstream(id);
        const auto headroom = context_.options.headroom;
        auto position = records_.find(id);
        if (position == records_.end())
        {
            slot_record added{.service = configured.service,
                              .window = upstream_window(configured.slots, headroom),
                              .held = {},
                              .taking_over = takeover{
                                  .deadline = now + context_.options.takeover_wait, .views = {}}};
            position = records_.emplace(id, std::move(added)).first;
        }
        auto& record = position->second;
        record.service = configured.service;
        record.draining = configured.draining;
        record.window.configure(configured.slots, headroom);
        std::erase_if(record.held, [&](const auto& entry) { return !view.find(entry.first); });
        if (record.taking_over)
        {
            record.taking_over->views.push_back(view.hash());
        }
    }
}

void slot_ledger::set_held(const base::node_ref& router, const std::vector<holding>& holdings)
{
    for (auto& [id, record] : records_)
    {
        record.held.erase(router);
    }
    for (const auto& reported : holdings)
    {
        const auto record = records_.find(reported.upstream);
        if (record != records_.end() && reported.held > 0)
        {
            record->second.held[router] = reported.held;
        }
    }
}

void slot_ledger::add_grant(const base::upstream_id& upstream)
{
    ++records_.at(upstream).granted;
}

void slot_ledger::remove_grant(const base::upstream_id& upstream)
{
    const auto record = records_.find(upstream);
    if (record != records_.end() && record->second.granted > 0)
    {
        --record->second.granted;
    }
}

void slot_ledger::observe_load(const base::upstream_id& upstream, base::slots running,
                               base::slots waiting, base::time_point taken_at, base::time_point now)
{
    const auto record = records_.find(upstream);
    if (record != records_.end())
    {
        record->second.window.observe(running, waiting, taken_at, now);
    }
}

void slot_ledger::finish_takeovers(
    const std::function<bool(const base::node_ref&, const std::vector<std::uint64_t>&)>&
        has_reported,
    base::time_point now)
{
    for (auto& [id, record] : records_)
    {
        if (!record.taking_over)
        {
            continue;
        }
        const auto routers = context_.view.reporting_routers();
        const auto& views = record.taking_over->views;
        const bool complete =
            std::all_of(routers.begin(), routers.end(),
                        [&](const auto& router) { return has_reported(router, views); });
        if (complete || now >= record.taking_over->deadline)
        {
            record.taking_over.reset();
        }
    }
}

bool slot_ledger::owns(const base::upstream_id& upstream) const
{
    return records_.contains(upstream);
}

base::slots slot_ledger::free(const base::upstream_id& upstream) const
{
    const auto found = records_.find(upstream);
    if (found == records_.end() || found->second.draining || found->second.taking_over)
    {
        return 0;
    }
    const auto used = found->second.total_held() + found->second.granted;
    const auto window = window_of(upstream, found->second);
    return window > used ? window - used : 0;
}

std::vector<base::upstream_id> slot_ledger::free_upstreams(const base::service_id& service) const
{
    std::vector<base::upstream_id> upstreams;
    for (const auto& [id, record] : records_)
    {
        if (record.service == service && free(id) > 0)
        {
            upstreams.push_back(id);
        }
    }
    return upstreams;
}

std::vector<base::service_id> slot_ledger::services() const
{
    std::vector<base::service_id> services;
    for (const auto& [id, record] : records_)
    {
        if (std::find(services.begin(), services.end(), record.service) == services.end())
        {
            services.push_back(record.service);
        }
    }
    return services;
}

std::optional<base::time_point> slot_ledger::next_wakeup() const
{
    std::optional<base::time_point> next;
    for (const auto& [id, record] : records_)
    {
        if (record.taking_over && (!next || record.taking_over->deadline < *next))
        {
            next = record.taking_over->deadline;
        }
    }
    return next;
}

std::vector<owned_state> slot_ledger::states() const
{
    std::vector<owned_state> states;
    for (const auto& [id, record] : records_)
    {
        states.push_back({.upstream = id,
                          .window = window_of(id, record),
                          .held = record.total_held(),
                          .granted = record.granted,
                          .taking_over = record.taking_over.has_value()});
    }
    return states;
}

base::slots slot_ledger::window_of(const base::upstream_id& id, const slot_record& record) const
{
    return context_.view.own_window(id, record.window.size());
}

}  // namespace caraway::scheduling
