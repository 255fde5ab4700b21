#include "libcaraway/scheduling/totals_role.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace caraway::scheduling
{

namespace
{

/// A sum older than this many intervals is treated as unknown.
constexpr int max_sum_age_intervals = 4;
/// After this many intervals without a reply, the standby aggregator is asked, too.
constexpr int standby_query_intervals = 2;
/// Factor by which reports to the standby aggregator are less frequent.
constexpr int standby_interval_factor = 4;

}  // namespace

totals_role::totals_role(node_context& context)
    : context_(context), aggregator_(context, floors_), links_(context.options)
{
}

void totals_role::view_changed(base::time_point now)
{
    aggregator_.view_changed(now);
    const auto alive = [this](const base::node_ref& node)
    {
        return context_.view.find(node) != nullptr;
    };
    links_.retain(alive);
    std::erase_if(reply_sequences_, [&](const auto& entry) { return !alive(entry.first); });
}

void totals_role::receive(const base::node_ref& sender, const totals_report& report,
                          base::time_point now)
{
    auto reply = aggregator_.receive(sender, report, now);
    if (!reply)
    {
        return;
    }
    reply->sequence = ++reply_sequences_[sender];
    reply->floors = floors_.all();
    context_.out.send(sender, std::move(*reply));
}

void totals_role::receive(const base::node_ref& sender, const totals_reply& reply,
                          base::time_point now)
{
    if (!links_.record_received(sender, reply.sequence, reply.interval_ms))
    {
        return;
    }
    floors_.merge(reply.floors);
    for (const auto& sum : reply.sums)
    {
        totals_.merge(sum, now);
    }
}

void totals_role::charge(const account& key, base::cost delta)
{
    totals_.charge(key, delta);
}

pending_charges& totals_role::pending()
{
    return pending_;
}

base::virtual_time totals_role::virtual_now(const account& key, bool include_pending,
                                            base::time_point now) const
{
    const auto weight = context_.directory.weight(key.workspace);
    const auto pending = include_pending ? pending_.total(key) : base::cost{};
    if (!known(key, now))
    {
        const auto anchor = anchors_.find(key);
        const auto start = anchor == anchors_.end() ? floors_.at(key.service) : anchor->second;
        return base::virtual_time(start.value() + base::virtual_time(pending, weight).value());
    }
    return {totals_.rendered(key, now) + pending, weight};
}

bool totals_role::known(const account& key, base::time_point now) const
{
    const auto* totals = totals_.find(key);
    return totals && totals->updated_at &&
           now - *totals->updated_at <= max_sum_age_intervals * interval(key);
}

void totals_role::record_granted(const account& key, base::time_point now)
{
    if (known(key, now))
    {
        floors_.raise(key.service, virtual_now(key, false, now));
    }
}

void totals_role::run(const std::vector<account>& demanded, base::time_point now)
{
    pending_.expire([this](const account& key) { return charge_lag(key); }, now);
    anchor_unknown(demanded, now);
    refresh(now);
    next_send_ = next_refresh_;
    for (const auto& [aggregator, outgoing] : collect(demanded, now))
    {
        auto next = due(aggregator, outgoing);
        if (next <= now)
        {
            send(aggregator, outgoing, now);
            next = due(aggregator, outgoing);
        }
        next_send_ = next_send_ ? std::min(*next_send_, next) : next;
    }
}

std::optional<base::time_point> totals_role::next_wakeup() const
{
    return next_send_;
}

void totals_role::fill(scheduler_snapshot& snapshot, const std::vector<account>& demanded,
                       base::time_point now) const
{
    snapshot.floors = floors_.all();
    std::set<account> keys(demanded.begin(), demanded.end());
    for (const auto& [key, entry] : totals_.all())
    {
        keys.insert(key);
    }
    for (const auto& key : keys)
    {
        const auto* found = totals_.find(key);
        const auto totals = found ? *found : account_totals{};
        snapshot.accounts.push_back({.key = key,
                                     .epoch = totals.epoch,
                                     .lift = totals.lift,
                                     .total = totals.own,
                                     .sum = totals.own + totals.others,
                                     .pending = pending_.total(key),
                                     .virtual_now = virtual_now(key, true, now),
                                     .known = known(key, now),
                                     .demanded = 0});
    }
}

base::duration totals_role::interval(const account& key) const
{
    return links_.interval(context_.view.aggregators(key).front());
}

base::duration totals_role::charge_lag(const account& key) const
{
    const base::duration min_lag = context_.options.charge_lag;
    const auto factor = context_.options.charge_lag_intervals;
    return std::max(min_lag, std::chrono::duration_cast<base::duration>(interval(key) * factor));
}

void totals_role::anchor_unknown(const std::vector<account>& demanded, base::time_point now)
{
    std::map<account, base::virtual_time> anchors;
    for (const auto& key : demanded)
    {
        if (known(key, now))
        {
            continue;
        }
        const auto previous = anchors_.find(key);
        anchors.emplace(key,
                        previous == anchors_.end() ? floors_.at(key.service) : previous->second);
    }
    anchors_ = std::move(anchors);
}

void totals_role::refresh(base::time_point now)
{
    if (!totals_.needs_refresh())
    {
        next_refresh_.reset();
        return;
    }
    if (next_refresh_ && *next_refresh_ <= now)
    {
        totals_.refresh();
        next_refresh_.reset();
    }
    if (!next_refresh_)
    {
        next_refresh_ = now + context_.options.totals_refresh;
    }
}

totals_role::outgoing_reports totals_role::collect(const std::vector<account>& demanded,
                                                   base::time_point now) const
{
    outgoing_reports reports;
    for (const auto& [key, entry] : totals_.all())
    {
        const auto& aggregators = context_.view.aggregators(key);
        for (const auto& node : aggregators)
        {
            if (totals_.changed_for(key, node))
            {
                reports[node].changed.push_back(key);
                reports[node].standby = reports[node].standby && node != aggregators.front();
            }
        }
    }
    for (const auto& key : demanded)
    {
        const auto& aggregators = context_.view.aggregators(key);
        const auto* totals = totals_.find(key);
        const bool answered_recently =
            totals && totals->updated_at &&
            now - *totals->updated_at <= standby_query_intervals * interval(key);
        const std::size_t aggregator_count = answered_recently ? 1 : aggregators.size();
        for (std::size_t i = 0; i < aggregator_count; ++i)
        {
            auto& outgoing = reports[aggregators[i]];
            outgoing.wanted.push_back(key);
            outgoing.urgent = outgoing.urgent || !known(key, now);
            outgoing.standby = false;
        }
    }
    return reports;
}

base::time_point totals_role::due(const base::node_ref& aggregator,
                                  const outgoing_report& outgoing) const
{
    const auto due = links_.due(aggregator, outgoing.urgent);
    const bool never_sent = due == base::time_point::min();
    const auto extra_interval = (standby_interval_factor - 1) * links_.interval(aggregator);
    return outgoing.standby && !never_sent ? due + extra_interval : due;
}

void totals_role::send(const base::node_ref& aggregator, const outgoing_report& outgoing,
                       base::time_point now)
{
    totals_report report{.sequence = links_.record_sent(aggregator, now),
                         .totals = {},
                         .wanted = outgoing.wanted,
                         .floors = floors_.all()};
    for (const auto& key : outgoing.changed)
    {
        report.totals.push_back(totals_.report(key, aggregator));
    }
    context_.out.send(aggregator, std::move(report));
}

}  // namespace caraway::scheduling
