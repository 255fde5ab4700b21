// What a router logs about itself each second: the work done while it is overloaded, and the state
// of workspace shares.
#include "libcaraway/router/daemon.hpp"

#include "libcaraway/telemetry/rounding.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caraway::router
{

namespace
{

using telemetry::round_to_hundredths;
using telemetry::round_to_integer;

/// Workspaces in a log line: those with the greatest demand at this router.
constexpr std::size_t reported_workspaces = 3;

/// -1: there is no limit.
std::int64_t limit_or_minus_one(std::size_t limit)
{
    return limit == routing::entry::adaptive_limit::unlimited ? -1
                                                              : static_cast<std::int64_t>(limit);
}

/// -1: there is no limit.
double tokens_or_minus_one(double tokens)
{
    return std::isinf(tokens) ? -1 : round_to_integer(tokens);
}

nlohmann::ordered_json to_json(const routing::workspace_view& workspace)
{
    return {{"workspace", workspace.id.str()},
            {"own_asked", round_to_integer(workspace.own.demanded)},
            {"own_served", round_to_integer(workspace.own.served)},
            {"asked", round_to_integer(workspace.fleet_total.demanded)},
            {"served", round_to_integer(workspace.fleet_total.served)},
            {"refused", round_to_integer(workspace.fleet_total.refused)},
            {"held_by_engines", round_to_integer(workspace.fleet_total.held_by_engines)},
            {"fill", round_to_hundredths(workspace.status.share_used)},
            {"limit", tokens_or_minus_one(workspace.limit)},
            {"held_by_processor", round_to_integer(workspace.fleet_total.held_by_processor)}};
}

}  // namespace

void daemon::report_second(base::time_point now)
{
    const auto work = total_work();
    request_rate_ = static_cast<double>(work.requests - last_work_.requests);
    if (core_.overload.overloaded())
    {
        log_work(last_work_, work);
    }
    log_memory();
    core_.shares.record_second(now);
    log_shares(now);
    last_work_ = work;
    max_tick_delay_ = {};
}

void daemon::log_memory()
{
    const auto& memory = *core_.memory;
    const auto before = std::exchange(last_memory_counts_, memory.counts);
    const auto& now = memory.counts;
    if (now == before)
    {
        return;
    }
    core_.log.line("memory",
                   {{"held", memory.held()},
                    {"limit", memory.limits().total},
                    {"large_requests", memory.held_by_large(http::held_for::request)},
                    {"large_requests_limit", memory.limits().large_requests},
                    {"large_answers", memory.held_by_large(http::held_for::answer)},
                    {"large_answers_limit", memory.limits().large_answers},
                    {"refused", now.refused - before.refused},
                    {"waits", now.waits - before.waits},
                    {"closed_idle", now.closed_idle - before.closed_idle},
                    {"closed_withholding", now.closed_withholding - before.closed_withholding},
                    {"closed_unread", now.closed_unread - before.closed_unread}});
}

daemon::work_counters daemon::total_work() const
{
    return {.requests = core_.requests_received,
            .rejected = core_.overload_rejections,
            .chunks = core_.chunks_relayed,
            .digests = link_.digests_received(),
            .accept_pauses = callers_->refusals(),
            .door = door_.counts(),
            .lines_dropped = core_.log.dropped()};
}

void daemon::log_work(const work_counters& before, const work_counters& after) const
{
    core_.log.line("work",
                   {{"requests", after.requests - before.requests},
                    {"refused", after.rejected - before.rejected},
                    {"pieces", after.chunks - before.chunks},
                    {"digests", after.digests - before.digests},
                    {"refusals", after.accept_pauses - before.accept_pauses},
                    {"refused_ahead", after.door.refused_ahead - before.door.refused_ahead},
                    {"refused_full", after.door.refused_full - before.door.refused_full},
                    {"left_unread", after.door.left - before.door.left},
                    {"closed", after.door.closed - before.door.closed},
                    {"refusal_work_left", round_to_integer(door_.budget().left())},
                    {"admitted_work", round_to_integer(door_.budget().work_rate())},
                    {"lines_dropped", after.lines_dropped - before.lines_dropped},
                    {"streams", core_.active_streams},
                    {"limit", limit_or_minus_one(core_.overload.limit())},
                    {"connection_limit", limit_or_minus_one(core_.overload.connection_limit())},
                    {"binds", core_.overload.binding()},
                    {"latest_ms", max_tick_delay_.count()}});
}

void daemon::log_shares(base::time_point now)
{
    auto workspaces = nlohmann::ordered_json::array();
    for (const auto& workspace : core_.shares.highest_demand(reported_workspaces, now))
    {
        if (workspace.fleet_total.served < workspace.fleet_total.demanded)
        {
            workspaces.push_back(to_json(workspace));
        }
    }
    if (workspaces.empty())
    {
        return;
    }
    const auto basis = core_.shares.basis(now);
    const auto engines = core_.engine_usage();
    const auto& gap = core_.shares.widest_gap();
    core_.log.line("shares",
                   {{"even_share", tokens_or_minus_one(basis.even_share)},
                    {"limit", tokens_or_minus_one(basis.limit)},
                    {"capacity", round_to_integer(basis.capacity)},
                    {"asked", round_to_integer(basis.total.demanded)},
                    {"served", round_to_integer(basis.total.served)},
                    {"refused", round_to_integer(basis.total.refused)},
                    {"held_by_engines", round_to_integer(basis.total.held_by_engines)},
                    {"slots", engines.slots},
                    {"running", engines.running},
                    {"occupancy", round_to_hundredths(basis.occupancy)},
                    {"idle", round_to_hundredths(engines.idle_while_refusing(basis.total.refused))},
                    {"waiting", core_.wait_queue.size()},
                    {"gap", round_to_hundredths(gap.ratio)},
                    {"behind", gap.behind.str()},
                    {"best_served", gap.ahead.str()},
                    {"over_limit", round_to_hundredths(basis.over_limit)},
                    {"furthest_over", basis.furthest_over.str()},
                    {"mean_age_ms", basis.mean_age.count()},
                    {"oldest_age_ms", basis.oldest_age.count()},
                    {"workspaces", workspaces}});
}

}  // namespace caraway::router
