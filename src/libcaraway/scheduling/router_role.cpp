#include "libcaraway/scheduling/router_role.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace caraway::scheduling
{

namespace
{

/// Time after the end of an attempt within which its request may be retried.
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
    : context_(context), totals_(totals), ask_planner_(context),
      reports_(context.options, context.view.self()),
      synced_demands_(context.options.report_refresh), estimator_(context.options.advance_share),
      health_(context.options), budget_(context.options),
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
    synced_demands_.retain(alive);
    grant_receiver_.retain(alive);
    // A new owner waits for a report of every router, including those without demands or holdings.
    for (const auto& [upstream, owner] : context_.view.owners())
    {
        const auto previous = owners_.find(upstream);
        if (previous == owners_.end() || previous->second != owner)
        {
            reports_.mark_changed(owner, now);
        }
    }
    owners_ = context_.view.owners();
    ask_planner_.view_changed();
    for (const auto& [service, content] : context_.directory.content().services)
    {
        update_plan(service, now);
    }
}

std::optional<rejection> router_role::submit(request incoming, base::time_point now)
{
    ++context_.counters.submitted;
    if (auto rejected = admission_.check(incoming, now))
    {
        ++context_.counters.rejected;
        return rejected;
    }
    budget_.record_first_attempt(incoming.service);
    const auto key = account_of(incoming);
    queues_.push_back(std::move(incoming));
    // A request with others queued ahead of it waits for a slot as they do. Its report is urgent
    // only while all owners that are asked have announced free slots.
    const bool urgent = queues_.waiting(key) == 1 || !ask_planner_.widened(key.service);
    demand_changed(key, change::grew, urgent, now);
    return std::nullopt;
}

void router_role::cancel(base::request_number number, base::time_point now)
{
    ended_attempts_.erase(number);
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
    auto ended = attempts_.remove(number);
    if (!ended)
    {
        return;
    }
    record_result(*ended, total, result, now);
    mark_slot_owners(ended->upstream, ended->owner, now);
    const bool may_retry = result != attempt_result::done && result != attempt_result::cancelled;
    if (may_retry && !ended->cancelled)
    {
        ended->bound.last_upstream = ended->upstream;
        ended_attempts_[number] = {.ended_request = std::move(ended->bound),
                                   .retry_until = now + retry_window};
    }
}

void router_role::record_rest(base::request_number number, std::chrono::milliseconds rest,
                              base::time_point now)
{
    if (const auto* running = attempts_.find(number))
    {
        health_.record_rest(running->upstream, rest, now);
        exclusions_changed(running->upstream, now);
    }
}

/// Schedules a report to the upstream's owner, which grants no slots of excluded upstreams.
void router_role::exclusions_changed(const base::upstream_id& upstream, base::time_point now)
{
    next_recovery_ = health_.next_exclusion_end(now);
    const auto owner = owners_.find(upstream);
    if (owner != owners_.end())
    {
        reports_.mark_changed(owner->second, now);
    }
}

void router_role::record_result(const attempt& ended, base::cost total, attempt_result result,
                                base::time_point now)
{
    const auto key = account_of(ended.bound);
    totals_.charge(key, total - ended.charged);
    if (result == attempt_result::done)
    {
        estimator_.record_cost(key, ended.bound.hint, context_.directory.default_cost(key.service),
                               total);
    }
    const auto& upstreams = context_.directory.upstreams_of(key.service);
    if (health_.record_result(ended.upstream, result, upstreams, now))
    {
        exclusions_changed(ended.upstream, now);
    }
}

bool router_role::retry(base::request_number number, base::time_point now)
{
    auto found = ended_attempts_.extract(number);
    if (found.empty())
    {
        return false;
    }
    auto retried = std::move(found.mapped().ended_request);
    if (retried.deadline <= now || !context_.directory.service(retried.service) ||
        !budget_.take_retry(retried.service))
    {
        return false;
    }
    ++context_.counters.retried;
    const auto key = account_of(retried);
    const bool has_other_upstream = has_alternative(key.service, *retried.last_upstream, now);
    const base::duration avoid_for =
        has_other_upstream ? context_.options.retry_avoid : context_.options.report_refresh;
    queues_.push_front(std::move(retried), now + avoid_for);
    demand_changed(key, change::grew, true, now);
    return true;
}

bool router_role::has_alternative(const base::service_id& service,
                                  const base::upstream_id& excluded, base::time_point now) const
{
    const auto& upstreams = context_.directory.upstreams_of(service);
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [&](const auto& id)
                       {
                           return id != excluded && !context_.directory.upstream(id)->draining &&
                                  !health_.excluded(id, now);
                       });
}

void router_role::receive(const base::node_ref& owner, const grant_list& list, base::time_point now)
{
    if (list.router_incarnation != context_.view.self().life)
    {
        ++context_.counters.messages_dropped;
        return;
    }
    ask_planner_.record_free_slots(owner, list.free, now);
    for (const auto& offered : grant_receiver_.accept(owner, list))
    {
        if (bind(owner, offered, now))
        {
            ++context_.counters.grants_bound;
            continue;
        }
        ++context_.counters.grants_declined;
        grant_receiver_.record_declined(owner, offered.number);
    }
    if (!list.grants.empty())
    {
        // Also if no grant was new: the report that acknowledged them has been lost.
        reports_.mark_changed(owner, now);
    }
    for (const auto& announced : list.free)
    {
        update_plan(announced.service, now);
    }
}

bool router_role::bind(const base::node_ref& owner, const grant& offered, base::time_point now)
{
    const auto* upstream = context_.directory.upstream(offered.upstream);
    const auto held = attempts_.held(offered.upstream);
    if (!upstream || upstream->draining || !health_.usable(offered.upstream, held, now))
    {
        return false;
    }
    const account key{.service = offered.service, .workspace = offered.workspace};
    auto next = queues_.take(key, offered.upstream, now);
    if (!next)
    {
        return false;
    }
    ++next->attempts;
    ++context_.counters.started;
    health_.record_sent(offered.upstream, now);
    rates_.record_start(key, now);
    affinity_.record(next->affinity, offered.upstream);
    const auto fallback = context_.directory.default_cost(key.service);
    const auto estimate = estimator_.estimate(key, next->hint, fallback);
    const auto advance = estimator_.charge(key.service, estimate, {}, fallback);
    totals_.charge(key, advance);
    context_.out.push(start_attempt{.request = next->number,
                                    .upstream = offered.upstream,
                                    .owner = owner,
                                    .grant = offered.number,
                                    .estimate = estimate});
    attempts_.add({.bound = std::move(*next),
                   .upstream = offered.upstream,
                   .owner = owner,
                   .grant = offered.number,
                   .estimate = estimate,
                   .charged = advance,
                   .started = now});
    mark_slot_owners(offered.upstream, owner, now);
    demand_changed(key, change::shrank, false, now);
    return true;
}

/// Schedules reports to the owner that granted the slot and to the upstream's current owner: both
/// count the slots in use.
void router_role::mark_slot_owners(const base::upstream_id& upstream,
                                   const base::node_ref& granting_owner, base::time_point now)
{
    if (context_.view.find(granting_owner))
    {
        reports_.mark_changed(granting_owner, now);
    }
    const auto current_owner = owners_.find(upstream);
    if (current_owner != owners_.end() && current_owner->second != granting_owner)
    {
        reports_.mark_changed(current_owner->second, now);
    }
}

void router_role::demand_changed(const account& key, change direction, bool urgent,
                                 base::time_point now)
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
    if (waiting > cap || (waiting == cap && direction == change::shrank))
    {
        return;  // The reported number, which is capped, has not changed.
    }
    for (const auto& owner : ask_planner_.asked(key.service))
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
    const auto changed = ask_planner_.update(service, waiting, affinity_owner(service), now);
    for (const auto& owner : changed)
    {
        if (!context_.view.find(owner))
        {
            continue;
        }
        if (ask_planner_.is_asked(service, owner))
        {
            reports_.mark_changed(owner, now);
        }
        else
        {
            reports_.mark_deferred(owner, now);
        }
    }
}

/// The owner of the upstream that last ran the prompt prefix of a request at the head of a queue,
/// if there is one.
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
    expire_requests(now);
    report_recovered(now);
    std::erase_if(ended_attempts_,
                  [now](const auto& entry) { return entry.second.retry_until <= now; });
    if (const auto next = ask_planner_.next_wakeup(); next && *next <= now)
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

void router_role::expire_requests(base::time_point now)
{
    for (const auto& expired : queues_.expire(now))
    {
        ++context_.counters.given_up;
        const auto key = account_of(expired);
        context_.out.push(
            give_up{.request = expired.number, .answer = admission_.deadline_rejection(key, now)});
        demand_changed(key, change::shrank, false, now);
    }
}

/// Schedules reports to the owners when the ejection of an upstream has ended, so that slots of the
/// upstream can be granted to this router again.
void router_role::report_recovered(base::time_point now)
{
    if (!next_recovery_ || *next_recovery_ > now)
    {
        return;
    }
    health_.expire_rests(now);
    next_recovery_ = health_.next_exclusion_end(now);
    for (const auto& [service, content] : context_.directory.content().services)
    {
        if (queues_.waiting(service) == 0)
        {
            continue;
        }
        for (const auto& owner : ask_planner_.asked(service))
        {
            reports_.mark_changed(owner, now);
        }
    }
}

std::optional<base::time_point> router_role::next_wakeup() const
{
    auto next = earliest(queues_.next_deadline(), reports_.next_wakeup());
    next = earliest(next, ask_planner_.next_wakeup());
    return earliest(next, next_recovery_);
}

void router_role::send_report(const base::node_ref& owner, base::time_point now)
{
    auto report = make_report(owner, now);
    const bool empty = report.demands.empty() && report.holdings.empty();
    report.sequence = reports_.record_sent(owner, empty, now);
    if (synced_demands_.may_omit(owner, report.demands, now))
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
                         .last_grant = grant_receiver_.last(owner),
                         .declined = grant_receiver_.declined(owner),
                         .demands = demands_for(owner, now),
                         .holdings = holdings_for(owner),
                         .ejected = {}};
    for (const auto& [upstream, upstream_owner] : owners_)
    {
        if (upstream_owner == owner && health_.excluded(upstream, now))
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
        if (!ask_planner_.is_asked(key.service, owner))
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
        const auto upstream_owner = owners_.find(upstream);
        if (upstream_owner != owners_.end() && upstream_owner->second == owner)
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
        for (const auto& owner : ask_planner_.asked(key.service))
        {
            state.asked.push_back(owner.id);
        }
        out.queues.push_back(std::move(state));
    }
    for (const auto& [number, running] : attempts_.all())
    {
        out.attempts.push_back({.request = number,
                                .key = account_of(running.bound),
                                .upstream = running.upstream,
                                .owner = running.owner.id,
                                .grant = running.grant,
                                .estimate = running.estimate,
                                .charged = running.charged,
                                .age = milliseconds(age_ms(running.started, now))});
    }
    for (const auto& [upstream, owner] : owners_)
    {
        const auto* content = context_.directory.upstream(upstream);
        out.upstreams.push_back({.upstream = upstream,
                                 .service = content->service,
                                 .owner = owner.id,
                                 .held = attempts_.held(upstream),
                                 .draining = content->draining,
                                 .ejected = health_.excluded(upstream, now)});
    }
}

}  // namespace caraway::scheduling
