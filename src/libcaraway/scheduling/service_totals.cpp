#include "libcaraway/scheduling/service_totals.hpp"

#include <algorithm>
#include <chrono>

namespace caraway::scheduling
{

namespace
{

constexpr std::uint32_t refreshes_after_change = 3;

/// Weight of the newest interval in the smoothed rate at which the other nodes render service.
constexpr double rate_weight = 0.3;
/// Longest time over which that rate is extrapolated.
constexpr std::chrono::seconds max_extrapolation{2};

void update_rate(account_totals& totals, base::cost others, bool new_epoch, base::time_point now)
{
    if (!totals.updated_at || now - *totals.updated_at > max_extrapolation)
    {
        totals.others_rate = {};
        return;
    }
    const double seconds = std::chrono::duration<double>(now - *totals.updated_at).count();
    if (new_epoch || seconds <= 0)
    {
        return;
    }
    const auto measured_rate = std::max((others - totals.others) * (1 / seconds), base::cost{});
    totals.others_rate += (measured_rate - totals.others_rate) * rate_weight;
}

void mark_changed(account_totals& totals)
{
    ++totals.version;
    totals.refreshes_left = refreshes_after_change;
}

}  // namespace

void service_totals::charge(const account& key, base::cost delta)
{
    auto& totals = accounts_[key];
    totals.own += delta;
    mark_changed(totals);
}

bool service_totals::merge(const service_sum& sum, base::time_point now)
{
    auto& totals = accounts_[{.service = sum.service, .workspace = sum.workspace}];
    if (sum.epoch < totals.epoch)
    {
        return false;
    }
    const bool new_epoch = sum.epoch > totals.epoch;
    if (new_epoch)
    {
        // `lift` contains what this node had reported to the aggregator; only what was not reported
        // yet belongs to the new epoch.
        totals.epoch = sum.epoch;
        totals.own -= totals.reported;
        totals.reported = {};
        totals.lift = sum.lift;
        mark_changed(totals);
    }
    totals.lift = std::max(totals.lift, sum.lift);
    const auto others = sum.sum - sum.included;
    update_rate(totals, others, new_epoch, now);
    totals.others = others;
    totals.updated_at = now;
    return new_epoch;
}

bool service_totals::changed_for(const account& key, const base::node_ref& aggregator) const
{
    const auto found = accounts_.find(key);
    if (found == accounts_.end() || found->second.version == 0)
    {
        return false;
    }
    const auto sent = found->second.sent_versions.find(aggregator);
    return sent == found->second.sent_versions.end() || sent->second != found->second.version;
}

service_total service_totals::report(const account& key, const base::node_ref& aggregator)
{
    auto& totals = accounts_[key];
    totals.sent_versions[aggregator] = totals.version;
    totals.reported = totals.own;
    return {.service = key.service,
            .workspace = key.workspace,
            .epoch = totals.epoch,
            .lift = totals.lift,
            .total = totals.own};
}

void service_totals::refresh()
{
    for (auto& [key, totals] : accounts_)
    {
        if (totals.refreshes_left > 0)
        {
            --totals.refreshes_left;
            totals.sent_versions.clear();
        }
    }
}

bool service_totals::needs_refresh() const
{
    return std::any_of(accounts_.begin(), accounts_.end(),
                       [](const auto& entry) { return entry.second.refreshes_left > 0; });
}

base::cost service_totals::rendered(const account& key, base::time_point now) const
{
    const auto* totals = find(key);
    if (!totals)
    {
        return {};
    }
    base::cost sum = totals->lift + totals->own + totals->others;
    if (totals->updated_at)
    {
        const base::duration max_age = max_extrapolation;
        const auto age = std::min(now - *totals->updated_at, max_age);
        sum += totals->others_rate * std::chrono::duration<double>(age).count();
    }
    return sum;
}

const account_totals* service_totals::find(const account& key) const
{
    const auto found = accounts_.find(key);
    return found == accounts_.end() ? nullptr : &found->second;
}

const std::map<account, account_totals>& service_totals::all() const
{
    return accounts_;
}

}  // namespace caraway::scheduling
