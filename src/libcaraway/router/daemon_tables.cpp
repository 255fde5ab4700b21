// What a router learns from the store, and writes there.
#include "libcaraway/router/daemon.hpp"

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// A table of routers that start and stop rarely, and say so themselves; at the start of a fleet
/// it fills within seconds, so the first pause is short and each is twice the one before.
constexpr milliseconds routers_first_pause{1000};
constexpr milliseconds routers_period{15000};
constexpr milliseconds own_row_retry{700};
/// The store takes some 150 transactions a second in a part; a fleet of hundreds that starts at one
/// moment spreads them, as its routers hear of each other from those that their settings name.
constexpr milliseconds own_row_spread{2000};
/// The store's own answer to a call that waits for runners, spaced so that a table in which every
/// heartbeat shows costs three calls a second.
constexpr milliseconds upstreams_gap{350};
/// Calls that the store holds: they bound how long a connection that went silent goes unnoticed.
constexpr milliseconds upstreams_hold{1500};
constexpr milliseconds configuration_hold{1500};
/// Routers from which on each asks the store less often. A new configuration still arrives at once,
/// and the digests of those that have it tell the rest. Upstreams must be followed within the time
/// that a leaving one still serves (2 to 3 s): the rest of it is for the call itself and for
/// requests that are on their way.
constexpr std::size_t paced_from = 20;
constexpr double gap_of_notice = 0.6;
/// Where few routers ask for all of their zone, the store's answers come so often that the others
/// notice in time when they stop (routing/table_relay), and each change is passed on at once.
constexpr double hold_of_notice = 0.3;
constexpr milliseconds shared_gap{200};
constexpr milliseconds longest_hold{2500};
/// Calls of a router that rests: the longest hold but for a margin that the store allows (30 s),
/// and pauses after failures.
constexpr milliseconds resting_hold{25000};
constexpr milliseconds resting_pause{3000};
constexpr milliseconds longest_pause = routing::follower_options{}.longest_pause;
/// Of what an upstream accepts, the part that all routers together keep open idle.
constexpr double idle_share = 0.6;

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
                           .lost = [] {},
                           .back =
                               [] {
                               }});
    upstreams_ = std::make_unique<table_sync>(
        "upstreams", core_.timers, core_.log, platform.upstreams,
        routing::follower_options{.gap = upstreams_gap},
        table_sync::events{.all = [this](const rows_answer& answer)
                           { apply_upstreams(answer.rows, answer.revision, "store"); },
                           .changed = [this](const auto& rows)
                           { apply_upstreams(rows, std::nullopt, "store"); },
                           .lost = [this] { core_.directory.store_lost(core_.now()); },
                           .back =
                               [this]
                           {
                               core_.directory.store_back(core_.now());
                           }});
    if (!core_.options.seeds.empty() && !is_seed())
    {
        relay_.rely_on_others(core_.now());
        next_own_row_ = core_.now() + std::chrono::duration_cast<milliseconds>(own_row_spread *
                                                                               core_.random_unit());
        configurations_->rest();
        upstreams_->rest();
    }
    configurations_->start();
    upstreams_->start();
}

void daemon::sync_routers_table(base::time_point now)
{
    const bool reads = now >= next_routers_read_;
    if (reads && upstreams_->resting())
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
    else if (own_row_written_ && reads && !upstreams_->resting())
    {
        read_routers(now);
    }
}

void daemon::request_routers_from_peer(base::time_point now)
{
    const auto* source = peers_.with_store(now, core_.random_unit());
    if (source != nullptr && link_.ask(source->control, true))
    {
        schedule_routers_read(now);
    }
}

void daemon::write_own_row(base::time_point now)
{
    next_own_row_ = now + own_row_retry;
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
            next_routers_read_ = core_.now() + own_row_retry;
        });
}

void daemon::schedule_routers_read(base::time_point now)
{
    routers_read_interval_ =
        std::clamp(routers_read_interval_ * 2, routers_first_pause, routers_period);
    next_routers_read_ = now + routers_read_interval_;
}

void daemon::update_limits_per_router()
{
    const auto routers = peers_.size() + 1;
    core_.retries.set_routers(routers);
    const auto pace = static_cast<int>(1 + routers / paced_from);
    const auto notice = static_cast<double>(core_.options.leaving_notice.count());
    const milliseconds longest_gap(static_cast<std::int64_t>(gap_of_notice * notice));
    const milliseconds hold(static_cast<std::int64_t>(hold_of_notice * notice));
    upstreams_->set_pace(std::min(upstreams_gap * pace, longest_gap), upstreams_hold);
    if (relay_.is_shared(core_.now()))
    {
        upstreams_->set_pace(shared_gap, std::min(upstreams_hold, hold));
    }
    // A router that has peers to hear from may find late that its connection has gone silent, and
    // that the store is back.
    const bool resting = upstreams_->resting();
    configurations_->set_pace({}, resting ? resting_hold
                                          : std::min(configuration_hold * pace, longest_hold));
    configurations_->set_longest_pause(resting ? resting_pause : longest_pause);
    const auto table = core_.table();
    if (!table)
    {
        return;
    }
    double least = 1000;
    for (const auto& each : table->accepted().services)
    {
        least = std::min(least, static_cast<double>(each.max_connections));
    }
    const auto idle = static_cast<std::size_t>(least * idle_share / static_cast<double>(routers));
    core_.pool.set_max_idle(std::max<std::size_t>(idle, 2));
}

void daemon::apply_operator_rows(const std::vector<row>& rows,
                                 std::optional<std::uint64_t> listing_revision)
{
    std::set<base::zone_id> listed;
    bool changed = false;
    for (const auto& each : rows)
    {
        if (each.key == platform_.configuration_key && !each.removed)
        {
            apply_configuration(each.value, "store");
        }
        if (const auto zone = drained_zone_of(each))
        {
            listed.insert(*zone);
            changed |= core_.apply_zone_update(
                {.zone = *zone, .drained = !each.removed, .revision = each.revision}, "store");
        }
    }
    if (listing_revision)
    {
        for (const auto& each : core_.directory.zones().missing(listed, *listing_revision))
        {
            changed |= core_.apply_zone_update(each, "store");
        }
    }
    if (changed)
    {
        link_.tell_zone();
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
    const auto& known = core_.options.zones;
    if (!known.empty() && !known.contains(zone->value()))
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
        if (!upstreams_->resting())
        {
            link_.tell_zone();
        }
    }
}

}  // namespace caraway::router
