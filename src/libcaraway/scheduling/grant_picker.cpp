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
    const auto free = ledger_.free_upstreams(service);
    if (free.empty() || !board_.has_demand(service))
    {
        return std::nullopt;
    }
    for (const auto& requester : candidates(service, now))
    {
        const auto upstream = best_upstream(free, requester, may_offer);
        if (upstream)
        {
            return pick{.router = requester.router,
                        .upstream = *upstream,
                        .key = {.service = service, .workspace = requester.reported->workspace},
                        .estimate = requester.reported->head_cost,
                        .affinity = requester.reported->affinity};
        }
    }
    return std::nullopt;
}

std::vector<grant_picker::candidate> grant_picker::candidates(const base::service_id& service,
                                                              base::time_point now) const
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    std::vector<candidate> result;
    std::map<base::workspace_id, base::virtual_time> virtual_times;
    for (const auto& [router, entry] : board_.all())
    {
        const double report_age_ms = milliseconds(now - entry.demands_received).count();
        for (const auto& reported : entry.report.demands)
        {
            if (reported.service != service)
            {
                continue;
            }
            const account key{.service = service, .workspace = reported.workspace};
            const auto granted = sender_.unacknowledged(router, key);
            if (granted >= reported.waiting)
            {
                continue;
            }
            auto time = virtual_times.find(reported.workspace);
            if (time == virtual_times.end())
            {
                const auto value = totals_.virtual_now(key, true, now);
                time = virtual_times.emplace(reported.workspace, value).first;
            }
            // The oldest request already has a grant, and reports hold the age of the oldest one
            // only. The age of the next is estimated in proportion to the requests without a grant.
            const double ungranted_fraction = 1 - static_cast<double>(granted) / reported.waiting;
            result.push_back(
                {.router = router,
                 .reported = &reported,
                 .virtual_now = time->second,
                 .age_ms = (reported.head_age_ms + report_age_ms) * ungranted_fraction});
        }
    }
    std::sort(
        result.begin(), result.end(),
        [](const candidate& a, const candidate& b)
        { return std::tuple(a.virtual_now, -a.age_ms) < std::tuple(b.virtual_now, -b.age_ms); });
    return result;
}

std::optional<base::upstream_id>
grant_picker::best_upstream(const std::vector<base::upstream_id>& free, const candidate& requester,
                            const offer_rule& may_offer) const
{
    const account key{.service = requester.reported->service,
                      .workspace = requester.reported->workspace};
    const auto* cached = affinity_.find(requester.reported->affinity);
    const auto* router = context_.view.find(requester.router);
    std::optional<base::upstream_id> best;
    auto best_rank = std::tuple(false, false, base::slots{0});
    for (const auto& id : free)
    {
        if (!may_offer(requester.router, id, key))
        {
            continue;
        }
        const bool same_zone = router && router->zone == context_.directory.upstream(id)->zone;
        const auto rank = std::tuple(cached && *cached == id, same_zone, ledger_.free(id));
        if (!best || rank > best_rank)
        {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

}  // namespace caraway::scheduling
