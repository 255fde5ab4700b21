#include "libcaraway/scheduling/node_scheduler.hpp"

#include "libcaraway/scheduling/node_context.hpp"
#include "libcaraway/scheduling/owner_role.hpp"
#include "libcaraway/scheduling/router_role.hpp"
#include "libcaraway/scheduling/totals_role.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace caraway::scheduling
{

namespace
{

node_context make_context(scheduler_options options, const base::node_ref& self, base::zone_id zone)
{
    const auto mode = options.mode;
    return {.options = std::move(options),
            .view = fleet_view(mode, self, std::move(zone)),
            .directory = {},
            .out = outbox(self),
            .counters = {}};
}

/// Limit on rounds of messages from this node to itself within one call. Each round binds or
/// declines a grant, so the rounds end by themselves; the limit bounds the time lost to a
/// programming error.
constexpr int max_rounds = 256;

std::optional<base::time_point> earliest(std::optional<base::time_point> first,
                                         std::optional<base::time_point> second)
{
    return !first ? second : !second ? first : std::min(first, second);
}

}  // namespace

/// The roles of this node and the state they share.
class node_scheduler::parts
{
public:
    parts(scheduler_options options, const base::node_ref& self, base::zone_id zone)
        : context(make_context(std::move(options), self, std::move(zone))), totals(context),
          owner(context, totals), router(context, totals)
    {
    }

    parts(const parts&) = delete;
    parts& operator=(const parts&) = delete;

    void view_changed(base::time_point now)
    {
        totals.view_changed(now);
        owner.view_changed(now);
        router.view_changed(now);
        run_until_idle(now);
    }

    void dispatch(const base::node_ref& from, const peer_message& message, base::time_point now)
    {
        if (!context.view.find(from))
        {
            ++context.counters.messages_dropped;
            return;
        }
        if (const auto* report = std::get_if<router_report>(&message))
        {
            owner.receive(from, *report, now);
        }
        else if (const auto* grants = std::get_if<grant_list>(&message))
        {
            router.receive(from, *grants, now);
        }
        else if (const auto* totals_message = std::get_if<totals_report>(&message))
        {
            totals.receive(from, *totals_message, now);
        }
        else if (const auto* reply = std::get_if<totals_reply>(&message))
        {
            totals.receive(from, *reply, now);
        }
    }

    /// Runs the roles until no message from this node to itself is left.
    void run_until_idle(base::time_point now)
    {
        for (int round = 0; round < max_rounds; ++round)
        {
            router.run(now);
            owner.run(now);
            totals.run(owner.demanded(), now);
            auto message = context.out.take_local();
            if (!message)
            {
                return;
            }
            for (; message; message = context.out.take_local())
            {
                dispatch(context.view.self(), *message, now);
            }
        }
    }

    node_context context;
    totals_role totals;
    owner_role owner;
    router_role router;
    bool draining = false;
};

node_scheduler::node_scheduler(scheduler_options options, const base::node_ref& self,
                               base::zone_id zone)
    : parts_(std::make_unique<parts>(std::move(options), self, std::move(zone)))
{
}

node_scheduler::~node_scheduler() = default;
node_scheduler::node_scheduler(node_scheduler&&) noexcept = default;
node_scheduler& node_scheduler::operator=(node_scheduler&&) noexcept = default;

void node_scheduler::apply_configuration(const config::configuration& content, base::time_point now)
{
    parts_->context.directory.set(content);
    parts_->context.view.set_upstreams(content.upstreams);
    parts_->view_changed(now);
}

void node_scheduler::apply_members(std::vector<member> members, base::time_point now)
{
    parts_->context.view.set_members(std::move(members));
    parts_->view_changed(now);
}

void node_scheduler::set_draining(bool draining, base::time_point now)
{
    parts_->draining = draining;
    parts_->context.view.set_self_leaving(draining);
    parts_->view_changed(now);
}

std::optional<rejection> node_scheduler::submit(request incoming, base::time_point now)
{
    auto rejected = parts_->router.submit(std::move(incoming), now);
    if (!rejected)
    {
        parts_->run_until_idle(now);
    }
    return rejected;
}

void node_scheduler::cancel(base::request_number number, base::time_point now)
{
    parts_->router.cancel(number, now);
    parts_->run_until_idle(now);
}

void node_scheduler::progress(base::request_number number, base::cost streamed,
                              base::time_point now)
{
    parts_->router.progress(number, streamed);
    parts_->totals.run(parts_->owner.demanded(), now);
}

void node_scheduler::finished(base::request_number number, base::cost total, attempt_result result,
                              base::time_point now)
{
    parts_->router.finished(number, total, result, now);
    parts_->run_until_idle(now);
}

void node_scheduler::record_rest(base::request_number number, std::chrono::milliseconds rest,
                                 base::time_point now)
{
    parts_->router.record_rest(number, rest, now);
}

bool node_scheduler::retry(base::request_number number, base::time_point now)
{
    const bool queued = parts_->router.retry(number, now);
    parts_->run_until_idle(now);
    return queued;
}

void node_scheduler::receive(const base::node_ref& from, const peer_message& message,
                             base::time_point now)
{
    parts_->dispatch(from, message, now);
    parts_->run_until_idle(now);
}

void node_scheduler::observe_load(const base::upstream_id& upstream, base::slots running,
                                  base::slots waiting, base::duration age, base::time_point now)
{
    parts_->owner.observe_load(upstream, running, waiting, age, now);
    parts_->run_until_idle(now);
}

void node_scheduler::tick(base::time_point now)
{
    parts_->run_until_idle(now);
}

std::optional<base::time_point> node_scheduler::next_wakeup() const
{
    auto next = earliest(parts_->router.next_wakeup(), parts_->owner.next_wakeup());
    return earliest(next, parts_->totals.next_wakeup());
}

std::vector<action> node_scheduler::take_actions()
{
    return parts_->context.out.take();
}

scheduler_snapshot node_scheduler::snapshot(base::time_point now) const
{
    scheduler_snapshot result;
    result.draining = parts_->draining;
    result.view = parts_->context.view.hash();
    result.counters = parts_->context.counters;
    parts_->totals.fill(result, parts_->owner.demanded(), now);
    parts_->router.fill(result, now);
    parts_->owner.fill(result, now);
    return result;
}

}  // namespace caraway::scheduling
