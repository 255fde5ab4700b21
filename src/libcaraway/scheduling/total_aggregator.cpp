#include "libcaraway/scheduling/total_aggregator.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <set>

namespace caraway::scheduling
{

namespace
{

/// An account is idle after this many intervals in which no node requested its sum; a node that has
/// not asked for as long is no longer counted as a requester.
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

total_aggregator::total_aggregator(node_context& context, floor_tracker& floors)
    : context_(context), floors_(floors)
{
}

std::optional<totals_reply> total_aggregator::receive(const base::node_ref& sender,
                                                      const totals_report& report,
                                                      base::time_point now)
{
    auto& last_sequence = sequences_[sender];
    if (report.sequence <= last_sequence)
    {
        return std::nullopt;
    }
    last_sequence = report.sequence;
    floors_.merge(report.floors);
    std::set<account> to_answer(report.wanted.begin(), report.wanted.end());
    for (const auto& total : report.totals)
    {
        const account key{.service = total.service, .workspace = total.workspace};
        if (!merge(accounts_[key], sender, total))
        {
            to_answer.insert(key);
        }
    }
    for (const auto& key : report.wanted)
    {
        auto& state = accounts_[key];
        record_wanted(state, now);
        lift_if_behind(key, state, now);
    }
    if (to_answer.empty())
    {
        return std::nullopt;
    }
    record_requester(sender, now);
    using std::chrono::milliseconds;
    const auto wait = std::chrono::duration_cast<milliseconds>(interval()).count();
    totals_reply reply{.sums = {}, .floors = {}, .interval_ms = static_cast<std::uint32_t>(wait)};
    for (const auto& key : to_answer)
    {
        reply.sums.push_back(sum_for(sender, key, accounts_[key]));
    }
    return reply;
}

void total_aggregator::view_changed(base::time_point now)
{
    is_warmed_up(now);
    const auto alive = [this](const base::node_ref& node)
    {
        return context_.view.find(node);
    };
    for (auto& [key, state] : accounts_)
    {
        const bool has_dead_member =
            std::any_of(state.totals.begin(), state.totals.end(),
                        [&](const auto& total) { return !alive(total.first); });
        if (has_dead_member)
        {
            start_epoch(state, state.lift + sum_of(state.totals));
        }
    }
    std::erase_if(sequences_, [&](const auto& entry) { return !alive(entry.first); });
    std::erase_if(requesters_, [&](const auto& entry) { return !alive(entry.first); });
}

/// Returns false if the sender's epoch or lift is older and the sender must be told the newer one.
bool total_aggregator::merge(aggregate& state, const base::node_ref& sender,
                             const service_total& total)
{
    if (total.epoch < state.epoch)
    {
        return false;
    }
    if (total.epoch > state.epoch)
    {
        state.epoch = total.epoch;
        state.lift = total.lift;
        state.totals.clear();
    }
    state.totals[sender] = total.total;
    const bool sender_behind = total.lift < state.lift;
    state.lift = std::max(state.lift, total.lift);
    return !sender_behind;
}

void total_aggregator::record_wanted(aggregate& state, base::time_point now)
{
    const base::duration min_idle = context_.options.idle_timeout;
    const auto idle = std::max(min_idle, idle_intervals * interval());
    if (!state.wanted_at || now - *state.wanted_at > idle)
    {
        state.resumed_at = now;
    }
    else if (state.resumed_at && now - *state.resumed_at > idle)
    {
        state.resumed_at.reset();
    }
    state.wanted_at = now;
}

void total_aggregator::lift_if_behind(const account& key, aggregate& state, base::time_point now)
{
    // The standby aggregator gets totals rarely: by its old totals an account may seem to lag that
    // does not, and lifting the account to the floor would write off the service it has received
    // since.
    const bool is_standby = context_.view.aggregators(key).front() != context_.view.self();
    if (is_standby || !is_warmed_up(now))
    {
        return;
    }
    const auto weight = context_.directory.weight(key.workspace);
    const auto default_cost = context_.directory.default_cost(key.service).value();
    const base::virtual_time reached(state.lift + sum_of(state.totals), weight);
    const double floor = floors_.at(key.service).value();
    const double lag = floor - reached.value();
    const double max_lag =
        context_.options.max_backlogged_lag * context_.directory.slots_of(key.service);
    const double allowed_lag =
        default_cost * (state.resumed_at ? context_.options.lift_tolerance : max_lag);
    if (lag <= allowed_lag)
    {
        return;
    }
    const double target = state.resumed_at ? floor : floor - allowed_lag;
    state.resumed_at.reset();
    start_epoch(state, base::cost(target * weight.value()));
}

void total_aggregator::start_epoch(aggregate& state, base::cost lift)
{
    ++state.epoch;
    state.lift = lift;
    state.totals.clear();
    ++context_.counters.epochs_started;
}

service_sum total_aggregator::sum_for(const base::node_ref& to, const account& key,
                                      const aggregate& state) const
{
    const auto own = state.totals.find(to);
    return {.service = key.service,
            .workspace = key.workspace,
            .epoch = state.epoch,
            .lift = state.lift,
            .sum = sum_of(state.totals),
            .included = own == state.totals.end() ? base::cost{} : own->second};
}

void total_aggregator::record_requester(const base::node_ref& requester, base::time_point now)
{
    requesters_[requester] = now;
    const auto max_age = idle_intervals * interval();
    std::erase_if(requesters_, [&](const auto& entry) { return now - entry.second > max_age; });
}

/// The time it takes to answer every other requester once at the configured rate, and at least the
/// configured period.
base::duration total_aggregator::interval() const
{
    const base::duration min_interval = context_.options.totals_period;
    const auto rate = std::max(context_.options.totals_replies_per_second, 1U);
    const auto others = requesters_.size() - requesters_.count(context_.view.self());
    const base::duration second = std::chrono::seconds(1);
    const base::duration needed = second * others / rate;
    return std::max(min_interval, needed);
}

/// Returns false until scheduler_options::aggregator_warm_up has passed since the first call
/// (unless this node is the only member): a node that has just started knows too little of the
/// fleet to lift an account.
bool total_aggregator::is_warmed_up(base::time_point now)
{
    if (!started_)
    {
        started_ = now;
    }
    return context_.view.members().size() == 1 ||
           now - *started_ >= context_.options.aggregator_warm_up;
}

}  // namespace caraway::scheduling
