// The router's own endpoints: readiness, directory, control, metrics.
#include "libcaraway/router/daemon.hpp"

namespace caraway::router
{

namespace
{

using http::view;

/// The value of a query parameter, or empty. Not percent-decoded: names and zones of the platform
/// contain no characters that need escapes.
std::string query_value(std::string_view target, std::string_view name)
{
    auto position = target.find('?');
    while (position != std::string_view::npos && position < target.size())
    {
        auto field = target.substr(position + 1);
        field = field.substr(0, field.find('&'));
        if (field.starts_with(name) && field.substr(name.size()).starts_with("="))
        {
            return std::string(field.substr(name.size() + 1));
        }
        position = target.find('&', position + 1);
    }
    return {};
}

std::string_view path_of(const std::shared_ptr<http::exchange>& request)
{
    const auto target = view(request->head().target());
    return target.substr(0, target.find('?'));
}

void answer_json(const std::shared_ptr<http::exchange>& request, const std::string& body)
{
    auto head = http::make_response(http::status::ok);
    head.set(http::field::content_type, "application/json");
    request->respond(std::move(head), body);
}

}  // namespace

void daemon::answer_readiness(const std::shared_ptr<http::exchange>& request)
{
    const bool is_known_path = path_of(request) == platform_.entry.readiness_path;
    const auto code = !is_known_path ? http::status::not_found
                      : ready()      ? http::status::ok
                                     : http::status::service_unavailable;
    request->respond(http::make_response(code), {});
}

void daemon::answer_directory(const std::shared_ptr<http::exchange>& request)
{
    const auto target = view(request->head().target());
    if (path_of(request) != platform_.entry.directory_path)
    {
        request->respond(http::make_response(http::status::not_found), {});
        return;
    }
    const base::zone_id zone(query_value(target, platform_.entry.zone_field));
    const auto entries =
        peers_.entry_points(zone, self(), core_.now(), [this] { return core_.random_unit(); });
    if (entries.empty())
    {
        request->respond(http::make_response(http::status::service_unavailable), {});
        return;
    }
    answer_json(request, platform_.entry.answer(entries, core_.options.entry_lifetime));
}

void daemon::answer_control(const std::shared_ptr<http::exchange>& request)
{
    const auto target = view(request->head().target());
    if (path_of(request) == "/tables")
    {
        const auto numeric_parameter = [&](const char* name)
        {
            const auto text = query_value(target, name);
            return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
        };
        const base::config_version peer_version{numeric_parameter("have")};
        const copy_position since{.incarnation = numeric_parameter("life"),
                                  .changes = numeric_parameter("since")};
        const auto partial =
            make_partial_copy(peer_version, since, numeric_parameter("routers") > 0);
        answer_json(request, partial ? encode(*partial) : encoded_copy(peer_version));
    }
    else if (target == "/state")
    {
        answer_json(request, state().dump(1));
    }
    else if (target == "/metrics")
    {
        answer_metrics(request);
    }
    else
    {
        request->respond(http::make_response(http::status::not_found), {});
    }
}

void daemon::answer_metrics(const std::shared_ptr<http::exchange>& request)
{
    auto head = http::make_response(http::status::ok);
    head.set(http::field::content_type, "text/plain; version=0.0.4");
    request->respond(std::move(head), metrics_text());
}

std::string daemon::metrics_text()
{
    auto& registry = core_.metrics;
    const auto set_gauge = [&](const char* name, const char* help, double value)
    {
        registry.gauge({.name = name, .help = help}).set(value);
    };
    set_gauge("caraway_waiting", "Requests waiting for an upstream.",
              static_cast<double>(core_.wait_queue.size()));
    set_gauge("caraway_answering", "Requests of callers in flight.",
              static_cast<double>(callers_->active_requests()));
    set_gauge("caraway_connections", "Open connections of callers.",
              static_cast<double>(callers_->connections()));
    set_gauge("caraway_configuration_version", "Version of the configuration in force.",
              static_cast<double>(static_cast<std::uint64_t>(core_.version())));
    set_gauge("caraway_upstreams", "Upstreams known.", static_cast<double>(core_.directory.size()));
    set_gauge("caraway_upstreams_cold", "Upstreams believed to be cold.",
              static_cast<double>(core_.slow_start.size()));
    set_gauge("caraway_upstreams_resting",
              "Upstreams that refused a request and asked this router to send nothing for a time.",
              static_cast<double>(core_.health.resting_count(core_.now())));
    set_gauge("caraway_requests_during_rest",
              "Requests sent to upstreams during a rest that they had asked for, in total.",
              static_cast<double>(core_.requests_during_rest));
    const auto speeds = core_.engines.summary();
    set_gauge(
        "caraway_upstreams_slow",
        "Upstreams whose work takes an eighth longer, or more, than the mean of their service.",
        static_cast<double>(speeds.slow));
    set_gauge("caraway_upstream_slowness_max",
              "Time that work takes at the slowest upstream, relative to the mean of its service.",
              speeds.largest_slowness);
    set_gauge(
        "caraway_upstreams_age_seconds",
        "Time since the store, or a router that polls it, last confirmed the known upstreams.",
        std::chrono::duration<double>(core_.upstreams_age()).count());
    set_gauge("caraway_requests_withheld",
              "Requests not sent, as their upstreams left after the placement, in total.",
              static_cast<double>(core_.requests_withheld));
    set_gauge("caraway_streams_known",
              "Streams whose first upstream's version is known here, for callers that resume them.",
              static_cast<double>(origins_.size()));
    set_gauge("caraway_zones_drained",
              "Drained availability zones: upstreams there get nothing new.",
              static_cast<double>(core_.directory.zones().drained_count()));
    set_gauge("caraway_peers", "Other routers known.", static_cast<double>(peers_.size()));
    set_gauge("caraway_share_gap",
              "What the waiting workspace furthest behind could have had, divided by what it had, "
              "over six seconds; 1 is even.",
              core_.shares.widest_gap().ratio);
    const auto basis = core_.shares.basis(core_.now());
    set_gauge("caraway_share_over_limit",
              "Of workspaces that ask more than they may begin: the highest ratio of what one was "
              "served within the window to its limit; 0 without any.",
              basis.over_limit);
    set_gauge("caraway_slots_idle_while_refusing",
              "Part of the engines' slots that are free though requests are refused.",
              core_.engine_usage().idle_while_refusing(basis.total.refused));
    set_gauge("caraway_streams", "Requests to engines in flight.",
              static_cast<double>(core_.active_streams));
    set_gauge("caraway_overloaded",
              "1 while a limit on requests or connections is in force, as the CPU is overloaded.",
              core_.overload.overloaded() ? 1 : 0);
    set_gauge("caraway_connection_refusals",
              "Times that new connections of callers were refused until the next tick, in total.",
              static_cast<double>(callers_->refusals()));
    set_gauge(
        "caraway_door_refused_ahead",
        "Requests refused at the door as their workspaces had more than their part, in total.",
        static_cast<double>(door_.counts().refused_ahead));
    set_gauge("caraway_door_refused_full",
              "Requests of workspaces beyond their part refused at the door for lack of room, in "
              "total.",
              static_cast<double>(door_.counts().refused_full));
    set_gauge("caraway_door_left",
              "Connections whose callers had closed them before they were read at the door, in "
              "total.",
              static_cast<double>(door_.counts().left));
    set_gauge("caraway_door_closed",
              "Times that the listening socket was closed until the next tick, as the budget for "
              "refusals was spent, in total.",
              static_cast<double>(door_.counts().closed));
    set_gauge("caraway_admitted_work",
              "Work of the requests admitted per second, in events relayed, smoothed.",
              door_.budget().work_rate());
    const auto& memory = *core_.memory;
    set_gauge("caraway_memory_held_bytes", "Bytes held for callers, at all addresses.",
              static_cast<double>(memory.held()));
    set_gauge("caraway_memory_limit_bytes", "Bytes that may be held for callers.",
              static_cast<double>(memory.limits().total));
    set_gauge("caraway_memory_refused",
              "Requests and own answers refused for lack of memory, in total.",
              static_cast<double>(memory.counts.refused));
    set_gauge("caraway_memory_waits",
              "Times that a body or an answer was not read on for lack of memory, or as the caller "
              "did not read, in total.",
              static_cast<double>(memory.counts.waits));
    set_gauge("caraway_memory_closed_withholding",
              "Connections closed for lack of memory whose callers withheld a request, in total.",
              static_cast<double>(memory.counts.closed_withholding));
    set_gauge("caraway_memory_closed_unread",
              "Connections closed whose callers did not read an answer, in total.",
              static_cast<double>(memory.counts.closed_unread));
    set_gauge("caraway_memory_closed_idle", "Idle connections closed for lack of memory, in total.",
              static_cast<double>(memory.counts.closed_idle));
    set_gauge("caraway_crash_suspects", "1 while requests are suspected of crashing upstreams.",
              core_.crashes.has_suspects() ? 1 : 0);
    set_gauge("caraway_store_lost", "1 while the platform's store is unreachable.",
              upstreams_->store_unreachable() || configurations_->store_unreachable() ? 1 : 0);
    set_gauge("caraway_upstream_connections_opened", "Connections opened to upstreams, in total.",
              static_cast<double>(core_.pool.opened()));
    set_gauge("caraway_log_lines", "Lines logged, in total.",
              static_cast<double>(core_.log.written()));
    set_gauge("caraway_log_bytes", "Bytes logged, in total.",
              static_cast<double>(core_.log.bytes()));
    set_gauge("caraway_log_lines_dropped", "Log lines dropped, in total.",
              static_cast<double>(core_.log.dropped()));
    return registry.prometheus_text();
}

nlohmann::ordered_json daemon::state()
{
    const auto now = core_.now();
    auto upstreams = nlohmann::ordered_json::array();
    for (const auto& [id, upstream] : core_.directory.all())
    {
        const auto load = core_.load_tracker.total(id);
        const auto estimate = core_.engines.estimate(id, now);
        upstreams.push_back({{"id", id.str()},
                             {"service", upstream.service.str()},
                             {"zone", upstream.zone.str()},
                             {"software", upstream.software.str()},
                             {"draining", upstream.draining},
                             {"zone_drained", core_.directory.zones().contains(upstream.zone)},
                             {"cold", core_.slow_start.is_cold(id, now)},
                             {"ejected", core_.health.ejected(id, now)},
                             {"rest_left_ms", core_.health.rest_left(id, now).count()},
                             {"running", load.running},
                             {"unread_tokens", load.pending_prefill_tokens},
                             {"held_tokens", load.held_tokens},
                             {"slowness", core_.engines.pace.slowness(id)},
                             {"throughput", core_.engines.relative_throughput(id)},
                             {"prefill_us_per_token", estimate.prefill_ms_per_token * 1000}});
    }
    auto peers = nlohmann::ordered_json::array();
    for (const auto& [id, peer] : peers_.all())
    {
        peers.push_back({{"router", id.str()},
                         {"zone", peer.zone.str()},
                         {"heard", peers_.is_reachable(peer, now)},
                         {"ready", peer.ready},
                         {"version", static_cast<std::uint64_t>(peer.version)}});
    }
    return {{"router", core_.options.name.str()},
            {"version", static_cast<std::uint64_t>(core_.version())},
            {"ready", ready()},
            {"stopping", is_stopping()},
            {"asks_store", !upstreams_->is_paused()},
            {"waiting", core_.wait_queue.size()},
            {"upstreams", upstreams},
            {"peers", peers}};
}

}  // namespace caraway::router
