// What a router tells of itself each second: what its processor did, and what shares are decided
// on.
#include "libcaraway/router/daemon.hpp"

#include "libcaraway/telemetry/rounding.hpp"

namespace caraway::router
{

namespace
{

using telemetry::hundredths;
using telemetry::whole;

/// Workspaces told of in a line: those that ask most here.
constexpr std::size_t workspaces_told = 3;

/// -1: there is none.
std::int64_t told_limit(std::size_t limit)
{
    return limit == routing::stepped_limit::unlimited ? -1 : static_cast<std::int64_t>(limit);
}

nlohmann::ordered_json to_json(const routing::workspace_view& of)
{
    return {{"workspace", of.id.str()},
            {"own_asked", whole(of.own.asked)},
            {"own_served", whole(of.own.served)},
            {"asked", whole(of.all.asked)},
            {"served", whole(of.all.served)},
            {"fill", hundredths(of.stands.fill)},
            {"ahead", hundredths(of.stands.ahead)}};
}

}  // namespace

void daemon::report_second(base::time_point now)
{
    const auto done = work();
    request_rate_ = static_cast<double>(done.requests - counted_.requests);
    if (core_.overload.busy())
    {
        log_work(counted_, done);
    }
    log_shares(now);
    counted_ = done;
    latest_tick_ = {};
}

daemon::work_done daemon::work() const
{
    return {.requests = core_.requests_received,
            .refused = core_.overload_rejections,
            .pieces = core_.chunks_relayed,
            .digests = link_.heard(),
            .refusals = callers_->refusals(),
            .lines_dropped = core_.log.dropped()};
}

void daemon::log_work(const work_done& before, const work_done& now) const
{
    core_.log.line("work", {{"requests", now.requests - before.requests},
                            {"refused", now.refused - before.refused},
                            {"pieces", now.pieces - before.pieces},
                            {"digests", now.digests - before.digests},
                            {"refusals", now.refusals - before.refusals},
                            {"lines_dropped", now.lines_dropped - before.lines_dropped},
                            {"streams", core_.active_streams},
                            {"limit", told_limit(core_.overload.limit())},
                            {"latest_ms", latest_tick_.count()}});
}

void daemon::log_shares(base::time_point now)
{
    auto told = nlohmann::ordered_json::array();
    for (const auto& each : core_.shares.most_asked(workspaces_told, now))
    {
        if (each.all.served < each.all.asked)
        {
            told.push_back(to_json(each));
        }
    }
    if (told.empty())
    {
        return;
    }
    const auto basis = core_.shares.basis(now);
    core_.log.line("shares", {{"even_share", whole(basis.even_share)},
                              {"backlogged", basis.backlogged},
                              {"least_flooding", whole(basis.least_flooding)},
                              {"mean_age_ms", basis.mean_age.count()},
                              {"oldest_age_ms", basis.oldest_age.count()},
                              {"workspaces", told}});
}

}  // namespace caraway::router
