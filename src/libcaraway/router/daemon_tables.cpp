// How a router reads the tables of the platform's store and writes its own row there.
#include "libcaraway/router/daemon.hpp"

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Intervals between reads of the table of routers. Routers start and stop rarely and announce it
/// themselves. While a fleet starts, the table fills within seconds, so the first interval is short
/// and each following one is twice as long.
constexpr milliseconds min_routers_interval{1000};
constexpr milliseconds max_routers_interval{15000};
constexpr milliseconds own_row_retry_delay{700};
/// A partition of the store accepts about 150 transactions per second. Routers of a fleet of
/// hundreds that starts at once therefore delay writing their rows by a random time of up to this;
/// meanwhile they discover each other through the seed routers in their settings.
constexpr milliseconds max_own_row_delay{2000};
/// The time between an answer with upstreams and the next call. Each heartbeat of an upstream
/// changes the table; this limits the calls for it to three per second.
constexpr milliseconds upstreams_gap{350};
/// How long the store holds long-polling calls. This bounds how long a silently broken connection
/// goes unnoticed.
constexpr milliseconds upstreams_hold{1500};
constexpr milliseconds configuration_hold{1500};
/// For each multiple of this number of routers, the gap for upstreams and the hold for the
/// configuration grow by their base value, so that each router polls the store less often. A new
/// configuration still arrives at once: the digests of the routers that have it notify the others.
/// Changes of upstreams must arrive within the time that a leaving upstream still serves (2 to 3
/// s), so the gap is limited to a fraction of it; the rest is for the call itself and for requests
/// in flight.
constexpr std::size_t routers_per_slowdown = 20;
constexpr double max_gap_fraction = 0.6;
/// Where few routers poll for their whole zone, they are told of each change at once, and notice
/// early enough when answers stop (routing/table_relay).
constexpr milliseconds shared_gap{200};
constexpr milliseconds max_hold{2500};
/// Calls for the configuration by a router that copies upstreams from its peers: the hold, which is
/// the maximum that the store allows (30 s) less a margin, and the longest backoff after failures.
constexpr milliseconds passive_hold{25000};
constexpr milliseconds passive_max_backoff{3000};
constexpr milliseconds default_max_backoff = routing::follower_options{}.max_backoff;
/// The fraction of an upstream's connection limit that all routers together may keep idle.
constexpr double idle_fraction = 0.6;

}  // namespace

void daemon::open_tables(const platform_port& platform)
{
    configurations_ = std::make_unique<table_sync>(
        "configuration", core_.timers, core_.log, platform.configurations,
        routing::follower_options{},
        table_sync::events{.all = [this](const rows_answer& answer)
                           { apply_operator_rows(answer.rows, answer.revision); },
                           .changed = [this](const auto& rows)
                           { apply_operator_rows(rows, std::nullopt); },
                           .unreachable = [] {},
                           .recovered =
                               [] {
                               }});
    upstreams_ = std::make_unique<table_sync>(
        "upstreams", core_.timers, core_.log, platform.upstreams,
        routing::follower_options{.gap = upstreams_gap},
        table_sync::events{.all = [this](const rows_answer& answer)
                           { apply_upstreams(answer.rows, answer.revision, "store"); },
                           .changed = [this](const auto& rows)
                           { apply_upstreams(rows, std::nullopt, "store"); },
                           .unreachable = [this] { record_store_lost(); },
                           .recovered =
                               [this]
                           {
                               record_store_recovered();
                           }});
    if (!core_.options.seeds.empty() && !is_seed())
    {
        relay_.wait_for_peers(core_.now());
        next_own_row_ = core_.now() + std::chrono::duration_cast<milliseconds>(max_own_row_delay *
                                                                               core_.random_unit());
        configurations_->pause();
        upstreams_->pause();
    }
    configurations_->start();
    upstreams_->start();
}

void daemon::record_store_lost()
{
    const auto now = core_.now();
    const auto last_confirmed = now - relay_.unconfirmed_for(now);
    core_.directory.record_store_lost(now, std::max(upstreams_->last_answer(), last_confirmed));
}

void daemon::record_store_recovered()
{
    core_.log.line("store_outage_over",
                   {{"entries_may_have_expired", core_.directory.may_have_expired(core_.now())}});
    core_.directory.record_store_recovered(core_.now());
}

void daemon::sync_routers_table(base::time_point now)
{
    const bool is_read_due = now >= next_routers_read_;
    if (is_read_due && upstreams_->is_paused())
    {
        request_routers_from_peer(now);
    }
    if (store_call_pending_)
    {
        return;
    }
    if (!own_row_written_ && now >= next_own_row_)
    {
        write_own_row(now);
    }
    else if (own_row_written_ && is_read_due && !upstreams_->is_paused())
    {
        read_routers(now);
    }
}

void daemon::request_routers_from_peer(base::time_point now)
{
    const auto* peer = peers_.with_fresh_tables(now, core_.random_unit());
    if (peer != nullptr && link_.request_copy(peer->control, true))
    {
        schedule_routers_read(now);
    }
}

void daemon::write_own_row(base::time_point now)
{
    next_own_row_ = now + own_row_retry_delay;
    store_call_pending_ = true;
    platform_.routers.write(own_row(),
                            [this](const base::result<void>& result)
                            {
                                store_call_pending_ = false;
                                own_row_written_ = static_cast<bool>(result);
                            });
}

void daemon::read_routers(base::time_point now)
{
    schedule_routers_read(now);
    store_call_pending_ = true;
    platform_.routers.read_all(
        [this](const base::result<rows_answer>& result)
        {
            store_call_pending_ = false;
            if (result)
            {
                apply_router_rows(result.value().rows);
                return;
            }
            next_routers_read_ = core_.now() + own_row_retry_delay;
        });
}

void daemon::schedule_routers_read(base::time_point now)
{
    routers_read_interval_ =
        std::clamp(routers_read_interval_ * 2, min_routers_interval, max_routers_interval);
    next_routers_read_ = now + routers_read_interval_;
}

void daemon::update_limits_per_router()
{
    const auto routers = peers_.size() + 1;
    core_.retries.set_router_count(routers);
    const auto slowdown = static_cast<int>(1 + routers / routers_per_slowdown);
    const auto notice_ms = static_cast<double>(core_.options.leaving_notice.count());
    const milliseconds max_gap(static_cast<std::int64_t>(max_gap_fraction * notice_ms));
    const bool is_shared = relay_.is_shared(core_.now());
    upstreams_->set_pace(is_shared ? shared_gap : std::min(upstreams_gap * slowdown, max_gap),
                         std::min(upstreams_hold, to_milliseconds(relay_.max_hold())));
    // A router that receives updates from peers may be late in detecting that its connection to the
    // store is broken, or that the store has recovered.
    const bool is_passive = upstreams_->is_paused();
    configurations_->set_pace({}, is_passive ? passive_hold
                                             : std::min(configuration_hold * slowdown, max_hold));
    configurations_->set_max_backoff(is_passive ? passive_max_backoff : default_max_backoff);
    const auto table = core_.table();
    if (!table)
    {
        return;
    }
    double min_connections = 1000;
    for (const auto& service : table->accepted().services)
    {
        min_connections = std::min(min_connections, static_cast<double>(service.max_connections));
    }
    const auto max_idle =
        static_cast<std::size_t>(min_connections * idle_fraction / static_cast<double>(routers));
    core_.pool.set_max_idle(std::max<std::size_t>(max_idle, 2));
}

void daemon::apply_operator_rows(const std::vector<row>& rows,
                                 std::optional<std::uint64_t> listing_revision)
{
    std::set<base::zone_id> listed;
    bool changed = false;
    for (const auto& operator_row : rows)
    {
        if (operator_row.key == platform_.configuration_key && !operator_row.removed)
        {
            apply_configuration(operator_row.value, "store");
        }
        if (const auto zone = drained_zone_of(operator_row))
        {
            listed.insert(*zone);
            changed |= core_.apply_zone_update({.zone = *zone,
                                                .drained = !operator_row.removed,
                                                .revision = operator_row.revision},
                                               "store");
        }
    }
    if (listing_revision)
    {
        for (const auto& update :
             core_.directory.zones().unlisted_updates(listed, *listing_revision))
        {
            changed |= core_.apply_zone_update(update, "store");
        }
    }
    if (changed)
    {
        link_.send_zone_digests();
    }
}

std::optional<base::zone_id> daemon::drained_zone_of(const row& operator_row)
{
    const auto zone = platform_.decode_drained_zone(operator_row);
    if (!zone)
    {
        return std::nullopt;
    }
    if (!*zone)
    {
        core_.log.line("drained_zone_unreadable",
                       {{"row", operator_row.key}, {"because", zone->error().message}});
        return std::nullopt;
    }
    const auto& known_zones = core_.options.zones;
    if (!known_zones.empty() && !known_zones.contains(zone->value()))
    {
        core_.log.line("drained_zone_unknown", {{"zone", zone->value().str()}});
        return std::nullopt;
    }
    return zone->value();
}

void daemon::apply_configuration(const std::string& text, std::string_view source)
{
    auto decoded = platform_.decode_configuration(text);
    if (!decoded)
    {
        core_.log.line("configuration_unreadable",
                       {{"from", source}, {"because", decoded.error().message}});
        return;
    }
    if (core_.adopt(std::move(decoded.value()), source))
    {
        configuration_text_ = text;
        update_limits_per_router();
        core_.dispatch_waiting();
        if (!upstreams_->is_paused())
        {
            link_.send_zone_digests();
        }
    }
}

}  // namespace caraway::router
