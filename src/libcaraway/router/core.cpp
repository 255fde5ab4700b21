#include "libcaraway/router/core.hpp"

#include "libcaraway/router/request_session.hpp"

namespace caraway::router
{

namespace
{

/// After so many waiting requests in a row found no place, the rest are taken to find none either:
/// a pump looks at upstreams for each, and comes again with the next place that is free.
constexpr std::size_t max_misses = 12;

scheduling::scheduler_options health_settings()
{
    scheduling::scheduler_options options;
    // A runner that came back is used again within seconds: the calls that find out are few.
    options.ejection_base = std::chrono::milliseconds(400);
    options.ejection_max = std::chrono::milliseconds(3000);
    return options;
}

std::map<base::service_id, routing::warmup_terms>
warmup_terms_of(const routing::configuration& from)
{
    std::map<base::service_id, routing::warmup_terms> terms;
    for (const auto& each : from.services)
    {
        if (each.warmup_rate > 0)
        {
            terms[each.id] = {.lasts = each.warmup, .rate = each.warmup_rate};
        }
    }
    return terms;
}

}  // namespace

core::core(boost::asio::io_context& event_loop, const base::clock& process_clock,
           settings process_options, caller_protocol callers, telemetry::line_log& lines)
    : loop(event_loop), clock(process_clock), options(std::move(process_options)),
      protocol(std::move(callers)), log(lines), timers(loop, clock), pool(loop, timers),
      cold(options.name), retries(options.retries), placer({.zone = options.zone}),
      health_options(health_settings()), health(health_options), random_(std::random_device{}())
{
    shares.set_window(options.share_window);
}

bool core::adopt(routing::configuration accepted, std::string_view from)
{
    if (accepted.version <= version())
    {
        return false;
    }
    log.line("configuration", {{"version", static_cast<std::uint64_t>(accepted.version)},
                               {"before", static_cast<std::uint64_t>(version())},
                               {"from", from},
                               {"routes", accepted.routes.size()},
                               {"workspaces", accepted.workspaces.size()}});
    cold.set_terms(warmup_terms_of(accepted));
    table_ = std::make_shared<const routing::route_table>(std::move(accepted));
    set_share_capacity();
    return true;
}

bool core::note_zone(const routing::zone_statement& what, std::string_view from)
{
    const bool known = options.zones.empty() || options.zones.contains(what.zone);
    if (!known || !directory.note_zone(what))
    {
        return false;
    }
    log.line(what.drained ? "zone_drained" : "zone_taken_back",
             {{"zone", what.zone.str()}, {"from", from}, {"revision", what.revision}});
    set_share_capacity();
    if (!what.drained)
    {
        // They may have become cold meanwhile, and their entries say so only at their next writing.
        for (const auto& [id, each] : directory.all())
        {
            if (each.zone == what.zone)
            {
                note_cold(each, cold.terms_of(each.service).lasts, "zone_taken_back");
            }
        }
        pump();
    }
    return true;
}

void core::note_cold(const routing::upstream& which, std::chrono::milliseconds left,
                     std::string_view because)
{
    if (cold.note_cold(which, left, now()))
    {
        log.line("upstream_cold",
                 {{"upstream", which.id.str()}, {"left_ms", left.count()}, {"because", because}});
    }
}

void core::note_warm()
{
    const auto warm = cold.expire(now());
    for (const auto& id : warm)
    {
        log.line("upstream_warm", {{"upstream", id.str()}});
    }
    if (!warm.empty())
    {
        pump();
    }
}

void core::set_share_capacity()
{
    if (table_)
    {
        shares.set_capacity(table_->accepted().tokens_per_second * directory.part_in_use());
    }
}

base::config_version core::version() const
{
    return table_ ? table_->accepted().version : base::config_version{};
}

void core::handle(const std::shared_ptr<http::exchange>& request)
{
    ++requests;
    std::make_shared<request_session>(*this, request)->start();
}

void core::pump()
{
    if (pumping_ || line.size() == 0)
    {
        return;
    }
    pumping_ = true;
    const auto at = now();
    const auto order = line.order([&](const auto& id) { return shares.fill(id, at); });
    std::size_t misses = 0;
    for (const auto id : order)
    {
        const auto found = waiting_.find(id);
        const auto session = found == waiting_.end() ? nullptr : found->second.lock();
        if (!session)
        {
            stop_waiting(id);
            continue;
        }
        if (session->try_place())
        {
            stop_waiting(id);
            continue;
        }
        if (++misses >= max_misses)
        {
            break;
        }
    }
    pumping_ = false;
}

void core::expire_waiting()
{
    for (const auto id : line.take_expired(now()))
    {
        const auto found = waiting_.find(id);
        const auto session = found == waiting_.end() ? nullptr : found->second.lock();
        waiting_.erase(id);
        if (session)
        {
            session->on_waited_too_long();
        }
    }
}

routing::ticket core::wait(const std::shared_ptr<request_session>& session,
                           const routing::waiting_request& request)
{
    const auto id = line.add(request);
    waiting_[id] = session;
    timers.at(request.until, [this] { expire_waiting(); });
    return id;
}

void core::stop_waiting(routing::ticket id)
{
    line.remove(id);
    waiting_.erase(id);
}

void core::note_attempt(const base::upstream_id& id, const base::service_id& service,
                        scheduling::attempt_result result)
{
    // Only a failure asks how many of the service's upstreams are ejected.
    std::vector<base::upstream_id> peers;
    if (result != scheduling::attempt_result::done)
    {
        for (const auto* each : directory.usable(service))
        {
            peers.push_back(each->id);
        }
    }
    const bool was_ejected = health.ejected(id, now());
    health.record_result(id, result, peers, now());
    const bool is_ejected = health.ejected(id, now());
    if (is_ejected != was_ejected)
    {
        // Where upstreams fail part of what they get, hundreds of these come a second.
        log.request_line("upstream_health", {{"upstream", id.str()},
                                             {"ejected", is_ejected},
                                             {"because", scheduling::name(result)}});
    }
}

void core::note_lost(const base::upstream_id& id, attempts::request_fingerprint request)
{
    log_crash(crashes.lost(id, request, now()));
}

void core::note_unreachable(const base::upstream_id& id)
{
    log_crash(crashes.unreachable(id, now()));
}

void core::note_restarted(const base::upstream_id& id, std::chrono::milliseconds born)
{
    log.line("upstream_restarted", {{"upstream", id.str()}, {"born", born.count()}});
    pool.close_all(id);
    placer.forget(id);
    health.discard(id);
    log_crash(crashes.restarted(id, now()));
    std::vector<std::shared_ptr<request_session>> there;
    if (const auto found = at_upstreams_.find(id); found != at_upstreams_.end())
    {
        for (const auto& [unused, each] : found->second)
        {
            there.push_back(each.lock());
        }
    }
    const auto alive_for = clock.wall_time().time_since_epoch() - born;
    for (const auto& each : there)
    {
        if (each == nullptr)
        {
            continue;
        }
        each->on_upstream_restarted(std::chrono::duration_cast<base::duration>(alive_for));
    }
}

void core::enter_upstream(const base::upstream_id& id, request_session& session)
{
    at_upstreams_[id][&session] = session.weak_from_this();
}

void core::leave_upstream(const base::upstream_id& id, request_session& session)
{
    const auto found = at_upstreams_.find(id);
    if (found == at_upstreams_.end())
    {
        return;
    }
    found->second.erase(&session);
    if (found->second.empty())
    {
        at_upstreams_.erase(found);
    }
}

void core::log_crash(const std::optional<attempts::upstream_crash>& crash)
{
    if (crash)
    {
        log.line("upstream_crash",
                 {{"upstream", crash->upstream.str()}, {"requests", crash->in_flight.size()}});
    }
}

double core::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

}  // namespace caraway::router
