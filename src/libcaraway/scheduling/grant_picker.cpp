#include "libcaraway/scheduling/grant_picker.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace caraway::scheduling
{

grant_picker::grant_picker(const node_context& context, const totals_role& totals,
                           const demand_tracker& board, const grant_sender& sender,
                           const slot_ledger& ledger, const prefix_affinity& affinity)
    : context_(context), totals_(totals), board_(board), sender_(sender), ledger_(ledger),
      affinity_(affinity)
{
}

std::optional<pick> grant_picker::next(const base::service_id& service, const offer_rule& may_offer,
                                       base::time_point now) const
{
    const auto free = ledger_.free_of(service);
    if (free.empty() || !board_.has_demand(service))
    {
        return std::nullopt;
    }
    for (const auto& taker : candidates(service, now))
    {
        const auto upstream = best_upstream(free, taker, may_offer);
        if (upstream)
        {
            return pick{.router = taker.router,
                        .upstream = *upstream,
                        .key = {.service = service, .workspace = taker.wanted->workspace},
                        .estimate = taker.wanted->head_cost,
                        .affinity = taker.wanted->affinity};
        }
    }
    return std::nullopt;
}

std::vector<grant_picker::candidate> grant_picker::candidates(const base::service_id& service,
                                                              base::time_point now) const
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    std::vector<candidate> found;
    std::map<base::workspace_id, base::virtual_time> times;
    for (const auto& [router, entry] : board_.all())
    {
        const double since = milliseconds(now - entry.demands_received).count();
        for (const auto& wanted : entry.report.demands)
        {
            if (wanted.service != service)
            {
                continue;
            }
            const account key{.service = service, .workspace = wanted.workspace};
            const auto granted = sender_.unacknowledged(router, key);
            if (granted >= wanted.waiting)
            {
                continue;
            }
            auto time = times.find(wanted.workspace);
            if (time == times.end())
            {
                const auto value = totals_.virtual_now(key, true, now);
                time = times.emplace(wanted.workspace, value).first;
            }
            // The head has been granted to; how long the next ones wait isn't told.
            const double left = 1 - static_cast<double>(granted) / wanted.waiting;
            found.push_back({.router = router,
                             .wanted = &wanted,
                             .virtual_now = time->second,
                             .age_ms = (wanted.head_age_ms + since) * left});
        }
    }
    std::sort(
        found.begin(), found.end(),
        [](const candidate& a, const candidate& b)
        { return std::tuple(a.virtual_now, -a.age_ms) < std::tuple(b.virtual_now, -b.age_ms); });
    return found;
}

std::optional<base::upstream_id>
grant_picker::best_upstream(const std::vector<base::upstream_id>& free, const candidate& taker,
                            const offer_rule& may_offer) const
{
    const account key{.service = taker.wanted->service, .workspace = taker.wanted->workspace};
    const auto* cached = affinity_.find(taker.wanted->affinity);
    const auto* router = context_.view.find(taker.router);
    std::optional<base::upstream_id> best;
    auto best_rank = std::tuple(false, false, base::slots{0});
    for (const auto& id : free)
    {
        if (!may_offer(taker.router, id, key))
        {
            continue;
        }
        const bool near = router && router->zone == context_.directory.upstream(id)->zone;
        const auto rank = std::tuple(cached && *cached == id, near, ledger_.free(id));
        if (!best || rank > best_rank)
        {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

}  // namespace caraway::scheduling
