#include "libcaraway/scheduling/router_role.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace caraway::scheduling
{

namespace
{

/// How long a request whose attempt ended may still be put back.
constexpr std::chrono::seconds retry_window{5};

std::optional<base::time_point> earliest(std::optional<base::time_point> a,
                                         std::optional<base::time_point> b)
{
    return !a ? b : !b ? a : std::min(a, b);
}

std::uint32_t age_ms(base::time_point since, base::time_point now)
{
    using std::chrono::milliseconds;
    const auto age = std::chrono::duration_cast<milliseconds>(now - since).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

}  // namespace

router_role::router_role(node_context& context, totals_role& totals)
    : context_(context), totals_(totals), asks_(context),
      reports_(context.options, context.view.self()), told_(context.options.report_refresh),
      estimator_(context.options.advance_share), health_(context.options), budget_(context.options),
      admission_(context.directory, queues_, rates_), affinity_(context.options.affinity_entries)
{
}

void router_role::view_changed(base::time_point now)
{
    const auto alive = [this](const base::node_ref& node)
    {
        return context_.view.find(node) != nullptr;
    };
    reports_.retain(alive);
    told_.retain(alive);
    grants_.retain(alive);
    // A new owner waits for the word of every router, also of one that has nothing to say.
    for (const auto& [upstream, owner] : context_.view.owners())
    {
        const auto before = owners_.find(upstream);
        if (before == owners_.end() || before->second != owner)
        {
            reports_.mark_changed(owner, now);
        }
    }
    owners_ = context_.view.owners();
    asks_.view_changed();
    for (const auto& [service, content] : context_.directory.content().services)
    {
        update_plan(service, now);
    }
}

std::optional<rejection> router_role::submit(request incoming, base::time_point now)
{
    ++context_.counters.submitted;
    if (auto refused = admission_.check(incoming, now))
    {
        ++context_.counters.rejected;
        return refused;
    }
    budget_.note_first_attempt(incoming.service);
    const auto key = account_of(incoming);
    queues_.push_back(std::move(incoming));
    // A request behind others can wait for a slot as they do, unless there are free ones.
    const bool urgent = queues_.waiting(key) == 1 || !asks_.widened(key.service);
    demand_changed(key, change::grew, urgent, now);
    return std::nullopt;
}

void router_role::cancel(base::request_number number, base::time_point now)
{
    ended_.erase(number);
    if (auto* running = attempts_.find(number))
    {
        running->cancelled = true;
        return;
    }
    if (const auto removed = queues_.remove(number))
    {
        demand_changed(account_of(*removed), change::shrank, false, now);
    }
}

void router_role::progress(base::request_number number, base::cost streamed)
{
    auto* running = attempts_.find(number);
    if (!running)
    {
        return;
    }
    const auto& service = running->bound.service;
    const auto charged = estimator_.charge(service, running->estimate, streamed,
                                           context_.directory.default_cost(service));
    totals_.charge(account_of(running->bound), charged - running->charged);
    running->charged = charged;
}

void router_role::finished(base::request_number number, base::cost total, attempt_result result,
                           base::time_point now)
{
    auto over = attempts_.remove(number);
    if (!over)
    {
        return;
    }
    settle(*over, total, result, now);
    mark_holders(over->upstream, over->owner, now);
    const bool may_return = result != attempt_result::done && result != attempt_result::cancelled;
    if (may_return && !over->cancelled)
    {
        over->bound.last_upstream = over->upstream;
        ended_[number] = {.over = std::move(over->bound), .until = now + retry_window};
    }
}

void router_role::settle(const attempt& over, base::cost total, attempt_result result,
                         base::time_point now)
{
    const auto key = account_of(over.bound);
    totals_.charge(key, total - over.charged);
    if (result == attempt_result::done)
    {
        estimator_.learn(key, over.bound.hint, context_.directory.default_cost(key.service), total);
    }
    const auto& peers = context_.directory.upstreams_of(key.service);
    if (health_.record_result(over.upstream, result, peers, now))
    {
        next_return_ = health_.next_ejection_end(now);
        const auto owner = owners_.find(over.upstream);
        if (owner != owners_.end())
        {
            reports_.mark_changed(owner->second, now);
        }
    }
}

bool router_role::retry(base::request_number number, base::time_point now)
{
    auto found = ended_.extract(number);
    if (found.empty())
    {
        return false;
    }
    auto again = std::move(found.mapped().over);
    if (again.deadline <= now || !context_.directory.service(again.service) ||
        !budget_.spend(again.service))
    {
        return false;
    }
    ++context_.counters.retried;
    const auto key = account_of(again);
    const bool elsewhere = has_alternative(key.service, *again.last_upstream, now);
    const base::duration avoid =
        elsewhere ? context_.options.retry_avoid : context_.options.report_refresh;
    queues_.push_front(std::move(again), now + avoid);
    demand_changed(key, change::grew, true, now);
    return true;
}

bool router_role::has_alternative(const base::service_id& service, const base::upstream_id& other,
                                  base::time_point now) const
{
    const auto& upstreams = context_.directory.upstreams_of(service);
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [&](const auto& id) {
                           return id != other && !context_.directory.upstream(id)->draining &&
                                  !health_.ejected(id, now);
                       });
}

void router_role::receive(const base::node_ref& owner, const grant_list& list, base::time_point now)
{
    if (list.router_incarnation != context_.view.self().life)
    {
        ++context_.counters.messages_dropped;
        return;
    }
    asks_.note_free(owner, list.free, now);
    for (const auto& given : grants_.accept(owner, list))
    {
        if (bind(owner, given, now))
        {
            ++context_.counters.grants_bound;
            continue;
        }
        ++context_.counters.grants_declined;
        grants_.note_declined(owner, given.number);
    }
    if (!list.grants.empty())
    {
        // Also if none was new: then the report that acknowledged them got lost.
        reports_.mark_changed(owner, now);
    }
    for (const auto& each : list.free)
    {
        update_plan(each.service, now);
    }
}

bool router_role::bind(const base::node_ref& owner, const grant& given, base::time_point now)
{
    const auto* upstream = context_.directory.upstream(given.upstream);
    const auto held = attempts_.held(given.upstream);
    if (!upstream || upstream->draining || !health_.usable(given.upstream, held, now))
    {
        return false;
    }
    const account key{.service = given.service, .workspace = given.workspace};
    auto next = queues_.take(key, given.upstream, now);
    if (!next)
    {
        return false;
    }
    ++next->attempts;
    ++context_.counters.started;
    rates_.record_start(key, now);
    affinity_.note(next->affinity, given.upstream);
    const auto fallback = context_.directory.default_cost(key.service);
    const auto estimate = estimator_.estimate(key, next->hint, fallback);
    const auto first = estimator_.charge(key.service, estimate, {}, fallback);
    totals_.charge(key, first);
    context_.out.push(start_attempt{.request = next->number,
                                    .upstream = given.upstream,
                                    .owner = owner,
                                    .grant = given.number,
                                    .estimate = estimate});
    attempts_.add({.bound = std::move(*next),
                   .upstream = given.upstream,
                   .owner = owner,
                   .grant = given.number,
                   .estimate = estimate,
                   .charged = first,
                   .started = now});
    mark_holders(given.upstream, owner, now);
    demand_changed(key, change::shrank, false, now);
    return true;
}

/// Both the owner that granted the slot and the present one must know of a change.
void router_role::mark_holders(const base::upstream_id& upstream, const base::node_ref& granter,
                               base::time_point now)
{
    if (context_.view.find(granter))
    {
        reports_.mark_changed(granter, now);
    }
    const auto present = owners_.find(upstream);
    if (present != owners_.end() && present->second != granter)
    {
        reports_.mark_changed(present->second, now);
    }
}

void router_role::demand_changed(const account& key, change what, bool urgent, base::time_point now)
{
    const auto waiting = queues_.waiting(key);
    if (waiting == 0)
    {
        rates_.record_empty(key, now);
    }
    else
    {
        rates_.record_backlog(key, now);
    }
    update_plan(key.service, now);
    const auto cap = context_.options.max_reported_waiting;
    if (waiting > cap || (waiting == cap && what == change::shrank))
    {
        return;  // The owners were told this number before.
    }
    for (const auto& owner : asks_.asked(key.service))
    {
        if (urgent || owner == context_.view.self())
        {
            reports_.mark_changed(owner, now);
        }
        else
        {
            reports_.mark_deferred(owner, now);
        }
    }
}

void router_role::update_plan(const base::service_id& service, base::time_point now)
{
    const auto waiting = queues_.waiting(service);
    const auto changed = asks_.update(service, waiting, affinity_owner(service), now);
    for (const auto& owner : changed)
    {
        if (!context_.view.find(owner))
        {
            continue;
        }
        if (asks_.is_asked(service, owner))
        {
            reports_.mark_changed(owner, now);
        }
        else
        {
            reports_.mark_deferred(owner, now);
        }
    }
}

/// Owner of the upstream that ran the prefix of a request that waits, if it has one.
std::optional<base::node_ref> router_role::affinity_owner(const base::service_id& service) const
{
    for (const auto& key : queues_.accounts())
    {
        if (key.service != service)
        {
            continue;
        }
        const auto* upstream = affinity_.find(queues_.head(key)->affinity);
        const auto owner = upstream ? owners_.find(*upstream) : owners_.end();
        if (owner != owners_.end())
        {
            return owner->second;
        }
    }
    return std::nullopt;
}

void router_role::run(base::time_point now)
{
    give_up_late(now);
    report_returned(now);
    std::erase_if(ended_, [now](const auto& each) { return each.second.until <= now; });
    if (const auto next = asks_.next_wakeup(); next && *next <= now)
    {
        for (const auto& [service, content] : context_.directory.content().services)
        {
            update_plan(service, now);
        }
    }
    for (const auto& owner : reports_.due(now))
    {
        send_report(owner, now);
    }
}

void router_role::give_up_late(base::time_point now)
{
    for (const auto& late : queues_.expire(now))
    {
        ++context_.counters.given_up;
        const auto key = account_of(late);
        context_.out.push(
            give_up{.request = late.number, .why = admission_.deadline_passed(key, now)});
        demand_changed(key, change::shrank, false, now);
    }
}

/// An ejection has ended: its owner may offer the upstream to this router again.
void router_role::report_returned(base::time_point now)
{
    if (!next_return_ || *next_return_ > now)
    {
        return;
    }
    next_return_ = health_.next_ejection_end(now);
    for (const auto& [service, content] : context_.directory.content().services)
    {
        if (queues_.waiting(service) == 0)
        {
            continue;
        }
        for (const auto& owner : asks_.asked(service))
        {
            reports_.mark_changed(owner, now);
        }
    }
}

std::optional<base::time_point> router_role::next_wakeup() const
{
    auto next = earliest(queues_.next_deadline(), reports_.next_wakeup());
    next = earliest(next, asks_.next_wakeup());
    return earliest(next, next_return_);
}

void router_role::send_report(const base::node_ref& owner, base::time_point now)
{
    auto report = make_report(owner, now);
    const bool empty = report.demands.empty() && report.holdings.empty();
    report.sequence = reports_.record_sent(owner, empty, now);
    if (told_.may_leave_out(owner, report.demands, now))
    {
        report.demands.clear();
        report.demands_unchanged = true;
    }
    context_.out.send(owner, std::move(report));
}

router_report router_role::make_report(const base::node_ref& owner, base::time_point now) const
{
    router_report report{.owner_incarnation = owner.life,
                         .view = context_.view.hash(),
                         .last_grant = grants_.last(owner),
                         .declined = grants_.declined(owner),
                         .demands = demands_for(owner, now),
                         .holdings = holdings_for(owner),
                         .ejected = {}};
    for (const auto& [upstream, its_owner] : owners_)
    {
        if (its_owner == owner && health_.ejected(upstream, now))
        {
            report.ejected.push_back(upstream);
        }
    }
    return report;
}

std::vector<demand> router_role::demands_for(const base::node_ref& owner,
                                             base::time_point now) const
{
    std::vector<demand> demands;
    for (const auto& key : queues_.accounts())
    {
        if (!asks_.is_asked(key.service, owner))
        {
            continue;
        }
        const auto* head = queues_.head(key);
        const auto fallback = context_.directory.default_cost(key.service);
        const auto estimate = estimator_.estimate(key, head->hint, fallback);
        demands.push_back(
            {.service = key.service,
             .workspace = key.workspace,
             .waiting = std::min(queues_.waiting(key), context_.options.max_reported_waiting),
             .head_cost = estimator_.charge(key.service, estimate, {}, fallback),
             .head_age_ms = age_ms(head->arrival, now),
             .affinity = head->affinity});
    }
    return demands;
}

std::vector<holding> router_role::holdings_for(const base::node_ref& owner) const
{
    auto held = attempts_.granted_by(owner);
    for (const auto& [upstream, count] : attempts_.held())
    {
        const auto its_owner = owners_.find(upstream);
        if (its_owner != owners_.end() && its_owner->second == owner)
        {
            held[upstream] = count;
        }
    }
    std::vector<holding> holdings;
    holdings.reserve(held.size());
    for (const auto& [upstream, count] : held)
    {
        holdings.push_back({.upstream = upstream, .held = count});
    }
    return holdings;
}

void router_role::fill(scheduler_snapshot& out, base::time_point now) const
{
    using std::chrono::milliseconds;
    for (const auto& key : queues_.accounts())
    {
        const auto* head = queues_.head(key);
        queue_state state{.key = key,
                          .waiting = queues_.waiting(key),
                          .head_age = milliseconds(age_ms(head->arrival, now)),
                          .head = head->number,
                          .asked = {},
                          .rate = rates_.rate(key, now).value_or(0)};
        for (const auto& owner : asks_.asked(key.service))
        {
            state.asked.push_back(owner.id);
        }
        out.queues.push_back(std::move(state));
    }
    for (const auto& [number, each] : attempts_.all())
    {
        out.attempts.push_back({.request = number,
                                .key = account_of(each.bound),
                                .upstream = each.upstream,
                                .owner = each.owner.id,
                                .grant = each.grant,
                                .estimate = each.estimate,
                                .charged = each.charged,
                                .age = milliseconds(age_ms(each.started, now))});
    }
    for (const auto& [upstream, owner] : owners_)
    {
        const auto* content = context_.directory.upstream(upstream);
        out.upstreams.push_back({.upstream = upstream,
                                 .service = content->service,
                                 .owner = owner.id,
                                 .held = attempts_.held(upstream),
                                 .draining = content->draining,
                                 .ejected = health_.ejected(upstream, now)});
    }
}

}  // namespace caraway::scheduling
