#include "libcaraway/scheduling/total_aggregator.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <set>

namespace caraway::scheduling
{

namespace
{

/// An account counts as idle after so many intervals in which nobody wanted its sum, and a node as
/// asking no more.
constexpr int idle_intervals = 3;

base::cost sum_of(const std::map<base::node_ref, base::cost>& totals)
{
    base::cost sum;
    for (const auto& [node, total] : totals)
    {
        sum += total;
    }
    return sum;
}

}  // namespace

total_aggregator::total_aggregator(node_context& context, floor_board& floors)
    : context_(context), floors_(floors)
{
}

std::optional<totals_reply> total_aggregator::receive(const base::node_ref& from,
                                                      const totals_report& report,
                                                      base::time_point now)
{
    auto& last = sequences_[from];
    if (report.sequence <= last)
    {
        return std::nullopt;
    }
    last = report.sequence;
    floors_.merge(report.floors);
    std::set<account> answered(report.wanted.begin(), report.wanted.end());
    for (const auto& total : report.totals)
    {
        const account key{.service = total.service, .workspace = total.workspace};
        if (!merge(accounts_[key], from, total))
        {
            answered.insert(key);
        }
    }
    for (const auto& key : report.wanted)
    {
        auto& each = accounts_[key];
        note_wanted(each, now);
        lift_if_behind(key, each, now);
    }
    if (answered.empty())
    {
        return std::nullopt;
    }
    note_asked(from, now);
    using std::chrono::milliseconds;
    const auto wait = std::chrono::duration_cast<milliseconds>(interval()).count();
    totals_reply reply{.sums = {}, .floors = {}, .interval_ms = static_cast<std::uint32_t>(wait)};
    for (const auto& key : answered)
    {
        reply.sums.push_back(sum_for(from, key, accounts_[key]));
    }
    return reply;
}

void total_aggregator::view_changed(base::time_point now)
{
    warm(now);
    const auto alive = [this](const base::node_ref& node)
    {
        return context_.view.find(node);
    };
    for (auto& [key, each] : accounts_)
    {
        const bool died = std::any_of(each.totals.begin(), each.totals.end(),
                                      [&](const auto& total) { return !alive(total.first); });
        if (died)
        {
            start_epoch(each, each.lift + sum_of(each.totals));
        }
    }
    std::erase_if(sequences_, [&](const auto& each) { return !alive(each.first); });
    std::erase_if(askers_, [&](const auto& each) { return !alive(each.first); });
}

/// False if the sender is behind and must be told.
bool total_aggregator::merge(aggregate& each, const base::node_ref& from,
                             const service_total& total)
{
    if (total.epoch < each.epoch)
    {
        return false;
    }
    if (total.epoch > each.epoch)
    {
        each.epoch = total.epoch;
        each.lift = total.lift;
        each.totals.clear();
    }
    each.totals[from] = total.total;
    const bool behind = total.lift < each.lift;
    each.lift = std::max(each.lift, total.lift);
    return !behind;
}

void total_aggregator::note_wanted(aggregate& each, base::time_point now)
{
    const base::duration shortest = context_.options.idle_timeout;
    const auto idle = std::max(shortest, idle_intervals * interval());
    if (!each.wanted_at || now - *each.wanted_at > idle)
    {
        each.opened_at = now;
    }
    else if (each.opened_at && now - *each.opened_at > idle)
    {
        each.opened_at.reset();
    }
    each.wanted_at = now;
}

void total_aggregator::lift_if_behind(const account& key, aggregate& each, base::time_point now)
{
    // The stand-in is told seldom; by its old totals an account seems behind that isn't, and
    // lifting it to the floor would take away what it has had since.
    const bool stand_in = context_.view.aggregators(key).front() != context_.view.self();
    if (stand_in || !warm(now))
    {
        return;
    }
    const auto weight = context_.directory.weight(key.workspace);
    const auto unit = context_.directory.default_cost(key.service).value();
    const base::virtual_time reached(each.lift + sum_of(each.totals), weight);
    const double floor = floors_.at(key.service).value();
    const double behind = floor - reached.value();
    const double longest =
        context_.options.max_backlogged_lag * context_.directory.slots_of(key.service);
    const double allowed = unit * (each.opened_at ? context_.options.lift_tolerance : longest);
    if (behind <= allowed)
    {
        return;
    }
    const double target = each.opened_at ? floor : floor - allowed;
    each.opened_at.reset();
    start_epoch(each, base::cost(target * weight.value()));
}

void total_aggregator::start_epoch(aggregate& each, base::cost lift)
{
    ++each.epoch;
    each.lift = lift;
    each.totals.clear();
    ++context_.counters.epochs_started;
}

service_sum total_aggregator::sum_for(const base::node_ref& to, const account& key,
                                      const aggregate& each) const
{
    const auto own = each.totals.find(to);
    return {.service = key.service,
            .workspace = key.workspace,
            .epoch = each.epoch,
            .lift = each.lift,
            .sum = sum_of(each.totals),
            .included = own == each.totals.end() ? base::cost{} : own->second};
}

void total_aggregator::note_asked(const base::node_ref& by, base::time_point now)
{
    askers_[by] = now;
    const auto longest = idle_intervals * interval();
    std::erase_if(askers_, [&](const auto& each) { return now - each.second > longest; });
}

/// As long as it takes to answer all that ask once.
base::duration total_aggregator::interval() const
{
    const base::duration shortest = context_.options.totals_period;
    const auto rate = std::max(context_.options.totals_replies_per_second, 1U);
    const auto others = askers_.size() - askers_.count(context_.view.self());
    const base::duration second = std::chrono::seconds(1);
    const base::duration needed = second * others / rate;
    return std::max(shortest, needed);
}

/// What a node knows that has only just started is too little to lift anyone by it.
bool total_aggregator::warm(base::time_point now)
{
    if (!started_)
    {
        started_ = now;
    }
    return context_.view.members().size() == 1 ||
           now - *started_ >= context_.options.aggregator_warm_up;
}

}  // namespace caraway::scheduling
