#include "libcaraway/scheduling/slot_ledger.hpp"

#include <algorithm>

namespace caraway::scheduling
{

base::slots slot_ledger::slot_book::held_in_all() const
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
    std::erase_if(books_,
                  [&](const auto& each)
                  {
                      const auto owner = view.owners().find(each.first);
                      return owner == view.owners().end() || owner->second != view.self();
                  });
    for (const auto& [id, owner] : view.owners())
    {
        if (owner != view.self())
        {
            continue;
        }
        const auto& content = *context_.directory.upstream(id);
        const auto headroom = context_.options.headroom;
        auto place = books_.find(id);
        if (place == books_.end())
        {
            slot_book taken{.service = content.service,
                            .window = upstream_window(content.slots, headroom),
                            .held = {},
                            .taking_over = takeover{.until = now + context_.options.takeover_wait,
                                                    .views = {}}};
            place = books_.emplace(id, std::move(taken)).first;
        }
        auto& book = place->second;
        book.service = content.service;
        book.draining = content.draining;
        book.window.configure(content.slots, headroom);
        std::erase_if(book.held, [&](const auto& each) { return !view.find(each.first); });
        if (book.taking_over)
        {
            book.taking_over->views.push_back(view.hash());
        }
    }
}

void slot_ledger::set_held(const base::node_ref& router, const std::vector<holding>& holdings)
{
    for (auto& [id, book] : books_)
    {
        book.held.erase(router);
    }
    for (const auto& each : holdings)
    {
        const auto book = books_.find(each.upstream);
        if (book != books_.end() && each.held > 0)
        {
            book->second.held[router] = each.held;
        }
    }
}

void slot_ledger::add_grant(const base::upstream_id& upstream)
{
    ++books_.at(upstream).granted;
}

void slot_ledger::remove_grant(const base::upstream_id& upstream)
{
    const auto book = books_.find(upstream);
    if (book != books_.end() && book->second.granted > 0)
    {
        --book->second.granted;
    }
}

void slot_ledger::observe_load(const base::upstream_id& upstream, base::slots running,
                               base::slots waiting, base::time_point taken, base::time_point now)
{
    const auto book = books_.find(upstream);
    if (book != books_.end())
    {
        book->second.window.observe(running, waiting, taken, now);
    }
}

void slot_ledger::finish_takeovers(
    const std::function<bool(const base::node_ref&, const std::vector<std::uint64_t>&)>& reported,
    base::time_point now)
{
    for (auto& [id, book] : books_)
    {
        if (!book.taking_over)
        {
            continue;
        }
        const auto routers = context_.view.reporting_routers();
        const auto& views = book.taking_over->views;
        const bool complete =
            std::all_of(routers.begin(), routers.end(),
                        [&](const auto& router) { return reported(router, views); });
        if (complete || now >= book.taking_over->until)
        {
            book.taking_over.reset();
        }
    }
}

bool slot_ledger::owns(const base::upstream_id& upstream) const
{
    return books_.contains(upstream);
}

base::slots slot_ledger::free(const base::upstream_id& upstream) const
{
    const auto found = books_.find(upstream);
    if (found == books_.end() || found->second.draining || found->second.taking_over)
    {
        return 0;
    }
    const auto used = found->second.held_in_all() + found->second.granted;
    const auto window = window_of(upstream, found->second);
    return window > used ? window - used : 0;
}

std::vector<base::upstream_id> slot_ledger::free_of(const base::service_id& service) const
{
    std::vector<base::upstream_id> upstreams;
    for (const auto& [id, book] : books_)
    {
        if (book.service == service && free(id) > 0)
        {
            upstreams.push_back(id);
        }
    }
    return upstreams;
}

std::vector<base::service_id> slot_ledger::services() const
{
    std::vector<base::service_id> services;
    for (const auto& [id, book] : books_)
    {
        if (std::find(services.begin(), services.end(), book.service) == services.end())
        {
            services.push_back(book.service);
        }
    }
    return services;
}

std::optional<base::time_point> slot_ledger::next_wakeup() const
{
    std::optional<base::time_point> next;
    for (const auto& [id, book] : books_)
    {
        if (book.taking_over && (!next || book.taking_over->until < *next))
        {
            next = book.taking_over->until;
        }
    }
    return next;
}

std::vector<owned_state> slot_ledger::states() const
{
    std::vector<owned_state> states;
    for (const auto& [id, book] : books_)
    {
        states.push_back({.upstream = id,
                          .window = window_of(id, book),
                          .held = book.held_in_all(),
                          .granted = book.granted,
                          .taking_over = book.taking_over.has_value()});
    }
    return states;
}

base::slots slot_ledger::window_of(const base::upstream_id& id, const slot_book& book) const
{
    return context_.view.own_window(id, book.window.size());
}

}  // namespace caraway::scheduling
