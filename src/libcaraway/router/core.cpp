#include "libcaraway/router/core.hpp"

#include "libcaraway/router/connection_limits.hpp"
#include "libcaraway/router/request_session.hpp"

namespace caraway::router
{

namespace
{

/// After this many queued requests found no upstream, a dispatch run skips the rest: each costs a
/// search over the upstreams, and the next run starts as soon as capacity becomes free.
constexpr std::size_t max_failed_placements = 12;

scheduling::scheduler_options health_settings()
{
    scheduling::scheduler_options options;
    // Short, so that a recovered upstream is used again within seconds. The requests that probe an
    // upstream that still fails are few.
    options.ejection_base = std::chrono::milliseconds(400);
    options.ejection_max = std::chrono::milliseconds(3000);
    return options;
}

std::map<base::service_id, routing::engines::warmup_limits>
warmup_limits_of(const routing::configuration& configuration)
{
    std::map<base::service_id, routing::engines::warmup_limits> terms;
    for (const auto& service : configuration.services)
    {
        if (service.warmup_rate > 0)
        {
            terms[service.id] = {.duration = service.warmup, .requests_per_s = service.warmup_rate};
        }
    }
    return terms;
}

}  // namespace

core::core(boost::asio::io_context& event_loop, const base::clock& process_clock,
           settings process_options, caller_protocol protocol_of_callers,
           telemetry::line_log& process_log)
    : loop(event_loop), clock(process_clock), options(std::move(process_options)),
      protocol(std::move(protocol_of_callers)), log(process_log), timers(loop, clock),
      pool(loop, timers), memory(std::make_shared<http::memory_budget>(http::divide_memory(
                              options.memory, limits_of_connections(options).total()))),
      slow_start(options.name), retries(options.retries), placer({.zone = options.zone}),
      health_options(health_settings()), health(health_options), random_(std::random_device{}())
{
    shares.set_window(options.share_window);
}

bool core::adopt(routing::configuration configuration, std::string_view source)
{
    if (configuration.version <= version())
    {
        return false;
    }
    log.line("configuration", {{"version", static_cast<std::uint64_t>(configuration.version)},
                               {"before", static_cast<std::uint64_t>(version())},
                               {"from", source},
                               {"routes", configuration.routes.size()},
                               {"workspaces", configuration.workspaces.size()}});
    slow_start.set_limits(warmup_limits_of(configuration));
    table_ = std::make_shared<const routing::route_table>(std::move(configuration));
    set_share_capacity();
    return true;
}

bool core::apply_zone_update(const routing::zone_update& update, std::string_view source)
{
    const bool known = options.zones.empty() || options.zones.contains(update.zone);
    if (!known || !directory.record_zone(update))
    {
        return false;
    }
    log.line(update.drained ? "zone_drained" : "zone_taken_back",
             {{"zone", update.zone.str()}, {"from", source}, {"revision", update.revision}});
    set_share_capacity();
    if (!update.drained)
    {
        // The upstreams may have become cold while drained, and their table entries show that only
        // after their next update.
        for (const auto& [id, upstream] : directory.all())
        {
            if (upstream.zone == update.zone)
            {
                record_cold(upstream, slow_start.limits_of(upstream.service).duration,
                            "zone_taken_back");
            }
        }
        dispatch_waiting();
    }
    return true;
}

void core::record_cold(const routing::upstream& upstream, std::chrono::milliseconds remaining,
                       std::string_view because)
{
    if (slow_start.record_cold(upstream, remaining, now()))
    {
        log.line("upstream_cold", {{"upstream", upstream.id.str()},
                                   {"left_ms", remaining.count()},
                                   {"because", because}});
    }
}

void core::expire_warmups()
{
    const auto warm = slow_start.expire(now());
    for (const auto& id : warm)
    {
        log.line("upstream_warm", {{"upstream", id.str()}});
    }
    if (!warm.empty())
    {
        dispatch_waiting();
    }
}

void core::set_share_capacity()
{
    if (table_)
    {
        shares.set_capacity(table_->accepted().tokens_per_second * directory.undrained_fraction());
    }
}

base::config_version core::version() const
{
    return table_ ? table_->accepted().version : base::config_version{};
}

void core::handle(const std::shared_ptr<http::exchange>& request)
{
    ++requests_received;
    std::make_shared<request_session>(*this, request)->start();
}

void core::dispatch_waiting()
{
    if (dispatching_ || wait_queue.size() == 0)
    {
        return;
    }
    dispatching_ = true;
    const auto current_time = now();
    const auto order = wait_queue.order(
        [&](const auto& id) { return shares.status(id, {}, current_time).largest_used(); });
    std::size_t failed_placements = 0;
    for (const auto id : order)
    {
        const auto found = waiting_.find(id);
        const auto session = found == waiting_.end() ? nullptr : found->second.lock();
        if (!session)
        {
            dequeue(id);
            continue;
        }
        if (session->try_place())
        {
            dequeue(id);
            continue;
        }
        if (++failed_placements >= max_failed_placements)
        {
            break;
        }
    }
    dispatching_ = false;
}

void core::expire_waiting()
{
    for (const auto id : wait_queue.take_expired(now()))
    {
        const auto found = waiting_.find(id);
        const auto session = found == waiting_.end() ? nullptr : found->second.lock();
        waiting_.erase(id);
        if (session)
        {
            session->on_wait_expired();
        }
    }
}

routing::returns::wait_id core::enqueue(const std::shared_ptr<request_session>& session,
                                        const routing::returns::waiting_request& request)
{
    const auto id = wait_queue.add(request);
    waiting_[id] = session;
    timers.at(request.expires, [this] { expire_waiting(); });
    return id;
}

void core::dequeue(routing::returns::wait_id id)
{
    wait_queue.remove(id);
    waiting_.erase(id);
}

void core::record_attempt_result(const base::upstream_id& id, const base::service_id& service,
                                 scheduling::attempt_result result)
{
    // The service's upstreams are needed for a failure only: ejection depends on how many of them
    // are ejected already.
    std::vector<base::upstream_id> peers;
    if (result != scheduling::attempt_result::done)
    {
        for (const auto* upstream : directory.usable(service))
        {
            peers.push_back(upstream->id);
        }
    }
    const bool was_ejected = health.ejected(id, now());
    health.record_result(id, result, peers, now());
    const bool is_ejected = health.ejected(id, now());
    if (is_ejected != was_ejected)
    {
        // Logged at the limited rate of request lines: upstreams that fail a part of their requests
        // change state hundreds of times a second.
        log.request_line("upstream_health", {{"upstream", id.str()},
                                             {"ejected", is_ejected},
                                             {"because", scheduling::name(result)}});
    }
}

void core::record_rest(const base::upstream_id& id, std::chrono::milliseconds rest)
{
    log.request_line("upstream_rest", {{"upstream", id.str()},
                                       {"rest_ms", rest.count()},
                                       {"left_ms", health.rest_left(id, now()).count()}});
    health.record_rest(id, rest, now());
    timers.after(rest, [this] { dispatch_waiting(); });
}

void core::record_leaving(const base::upstream_id& id)
{
    if (directory.record_announced_leaving(id, now()))
    {
        log.line("upstream_leaving", {{"upstream", id.str()}});
    }
}

void core::record_restart(const base::upstream_id& id, std::chrono::milliseconds process_start)
{
    log.line("upstream_restarted", {{"upstream", id.str()}, {"born", process_start.count()}});
    pool.close_all(id);
    placer.forget(id);
    engines.forget(id);
    health.discard(id);
    const attempts::upstream_incarnation started{.id = id, .process_start = process_start};
    for (const auto& crash : crashes.record_restarted(started, now()))
    {
        process_crash(crash);
    }
    std::vector<std::shared_ptr<request_session>> affected;
    if (const auto found = in_flight_.find(id); found != in_flight_.end())
    {
        for (const auto& [unused, session] : found->second)
        {
            affected.push_back(session.lock());
        }
    }
    const auto uptime = clock.wall_time().time_since_epoch() - process_start;
    for (const auto& session : affected)
    {
        if (session == nullptr)
        {
            continue;
        }
        session->on_upstream_restarted(std::chrono::duration_cast<base::duration>(uptime));
    }
}

std::vector<std::shared_ptr<request_session>> core::waiting_sessions() const
{
    std::vector<std::shared_ptr<request_session>> sessions;
    for (const auto& [unused, session] : waiting_)
    {
        sessions.push_back(session.lock());
    }
    return sessions;
}

void core::end_requests()
{
    auto sessions = waiting_sessions();
    for (const auto& [unused, at_upstream] : in_flight_)
    {
        for (const auto& [unused_address, session] : at_upstream)
        {
            sessions.push_back(session.lock());
        }
    }
    for (const auto& session : sessions)
    {
        if (session)
        {
            session->end_with_process();
        }
    }
}

void core::track_in_flight(const base::upstream_id& id, request_session& session)
{
    in_flight_[id][&session] = session.weak_from_this();
}

void core::untrack_in_flight(const base::upstream_id& id, request_session& session)
{
    const auto found = in_flight_.find(id);
    if (found == in_flight_.end())
    {
        return;
    }
    found->second.erase(&session);
    if (found->second.empty())
    {
        in_flight_.erase(found);
    }
}

engine_usage core::engine_usage() const
{
    router::engine_usage usage;
    if (!table_)
    {
        return usage;
    }
    for (const auto& service : table_->accepted().services)
    {
        if (!service.engine)
        {
            continue;
        }
        const auto longest_wait = longest_contended_wait(service.id);
        for (const auto* engine : directory.usable(service.id))
        {
            const auto load = load_tracker.total(engine->id);
            usage.slots += service.engine->slots;
            usage.running += load.running;
            usage.taken += service.engine->slots *
                           engines.part_taken(*service.engine, engine->id, load, longest_wait);
        }
    }
    return usage;
}

/// Of the route with the shortest target: beyond it an engine is of no use to its requests.
std::chrono::milliseconds core::longest_contended_wait(const base::service_id& service) const
{
    auto shortest = std::chrono::milliseconds::max();
    for (const auto& route : table_->accepted().routes)
    {
        const bool uses_service =
            std::any_of(route.services.begin(), route.services.end(),
                        [&](const auto& each) { return each.service == service; });
        if (uses_service)
        {
            shortest = std::min(shortest, routing::longest_contended_wait(route));
        }
    }
    return shortest;
}

double core::random_unit()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

}  // namespace caraway::router
