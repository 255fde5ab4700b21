// How a router applies the updates of upstreams that it receives from the store and from peers.
#include "libcaraway/router/daemon.hpp"

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Changes of more upstreams than this at once are logged as one line. Otherwise the start of a
/// fleet of some hundred routers would log a line per router and upstream.
constexpr std::size_t max_upstream_lines = 8;
/// How long a starting router is expected to take to discover peers.
constexpr milliseconds initial_discovery_time{3000};

}  // namespace

void daemon::apply_upstreams(const std::vector<row>& rows,
                             std::optional<std::uint64_t> listing_revision, std::string_view source)
{
    const auto now = core_.now();
    std::vector<const row*> changes;
    std::set<base::upstream_id> listed;
    // Rows are applied in the order in which they were written: an upstream may both start and
    // leave within one answer.
    for (const auto& upstream_row : rows)
    {
        const base::upstream_id id(upstream_row.key);
        if (upstream_row.removed)
        {
            unreadable_keys_.erase(upstream_row.key);
            if (core_.directory.revision_of(id) == 0)
            {
                core_.served_versions.record_gap(now);
            }
            log_removed(id, source, upstream_row.revision,
                        name(core_.directory.remove(
                            id, {.revision = upstream_row.revision, .received = now})));
            continue;
        }
        listed.insert(id);
        if (apply_upstream(upstream_row))
        {
            changes.push_back(&upstream_row);
        }
    }
    log_upstreams(changes, source);
    if (listing_revision)
    {
        for (const auto& id : core_.directory.remove_unlisted(
                 listed, {.revision = *listing_revision, .received = now}))
        {
            log_removed(id, source, *listing_revision, "not_in_listing");
        }
        upstreams_listed_ = true;
        core_.served_versions.record_gap(now);
    }
    if (upstream_rows_.size() > core_.directory.size())
    {
        std::erase_if(upstream_rows_, [&](const auto& entry)
                      { return core_.directory.find(base::upstream_id(entry.first)) == nullptr; });
    }
    core_.dispatch_waiting();
}

void daemon::log_upstreams(const std::vector<const row*>& changes, std::string_view source)
{
    if (changes.size() > max_upstream_lines)
    {
        std::string summary;
        for (const auto* changed_row : changes)
        {
            const auto* entry = core_.directory.find(base::upstream_id(changed_row->key));
            summary +=
                changed_row->key + (entry != nullptr && entry->draining ? " draining, " : ", ");
        }
        core_.log.line("upstreams", {{"count", changes.size()},
                                     {"from", source},
                                     {"revision", changes.back()->revision},
                                     {"upstreams", summary}});
        return;
    }
    for (const auto* changed_row : changes)
    {
        if (const auto* entry = core_.directory.find(base::upstream_id(changed_row->key)))
        {
            core_.log.line("upstream", {{"upstream", changed_row->key},
                                        {"service", entry->service.str()},
                                        {"address", entry->address.ip},
                                        {"software", entry->software.str()},
                                        {"draining", entry->draining},
                                        {"from", source},
                                        {"revision", changed_row->revision}});
        }
    }
}

void daemon::log_removed(const base::upstream_id& id, std::string_view source,
                         std::uint64_t revision, std::string_view outcome)
{
    core_.log.line(
        "upstream_removed",
        {{"upstream", id.str()}, {"from", source}, {"revision", revision}, {"outcome", outcome}});
}

void daemon::drop_expired_upstreams(base::time_point now)
{
    const auto log_all_removed = [&](const auto& removed, std::string_view outcome)
    {
        for (const auto& id : removed)
        {
            log_removed(id, "grace", upstreams_->revision(), outcome);
        }
    };
    const auto outage_start = core_.directory.deferring_outage_start();
    if (outage_start && peers_.any_fresh_since(*outage_start, now))
    {
        log_all_removed(core_.directory.cancel_grace(now), "store_was_there");
    }
    log_all_removed(core_.directory.expire(now), "grace_over");
}

bool daemon::apply_upstream(const row& upstream_row)
{
    auto decoded = platform_.decode_upstream(upstream_row);
    if (!decoded)
    {
        discard_unreadable(upstream_row, decoded.error());
        return false;
    }
    const auto& entry = decoded.value();
    const auto* known = core_.directory.find(entry.id);
    const bool is_change = known == nullptr || known->draining != entry.draining;
    core_.served_versions.record(entry.service, entry.software, core_.now());
    const auto change =
        core_.directory.put(entry, {.revision = upstream_row.revision, .received = core_.now()});
    if (change == routing::upstream_directory::change::outdated)
    {
        return false;
    }
    unreadable_keys_.erase(upstream_row.key);
    upstream_rows_[upstream_row.key] = upstream_row;
    const bool restarted = change == routing::upstream_directory::change::restarted;
    if (restarted)
    {
        core_.record_restart(entry.id, entry.process_start);
    }
    record_warmup(entry, known == nullptr || restarted);
    return is_change;
}

void daemon::record_warmup(const routing::upstream& entry, bool is_new)
{
    if (entry.warmup_left)
    {
        core_.record_cold(entry, *entry.warmup_left, "its_entry");
    }
    else if (is_new && upstreams_listed_)
    {
        core_.record_cold(entry, core_.slow_start.limits_of(entry.service).duration, "appeared");
    }
}

void daemon::update_warmups(base::time_point now)
{
    if (core_.slow_start.any_cold() || now >= next_sweep_)
    {
        auto fleet = peers_.fleet(now);
        const bool is_starting = fleet.peers.empty() && !core_.options.seeds.empty();
        fleet.isolated |= is_starting && now - started_ < initial_discovery_time;
        core_.slow_start.set_fleet(std::move(fleet));
    }
    core_.expire_warmups();
}

void daemon::discard_unreadable(const row& upstream_row, const base::error& reason)
{
    // The previous entry is no longer valid: its row was overwritten, though not by the upstream.
    const routing::update_stamp stamp{.revision = upstream_row.revision, .received = core_.now()};
    if (!core_.directory.discard(base::upstream_id(upstream_row.key), stamp))
    {
        return;
    }
    upstream_rows_.erase(upstream_row.key);
    if (unreadable_keys_.insert(upstream_row.key).second)
    {
        core_.log.line("upstream_unreadable",
                       {{"upstream", upstream_row.key}, {"because", reason.message}});
    }
}

bool daemon::has_tables() const
{
    return core_.table() != nullptr && core_.directory.size() > 0;
}

}  // namespace caraway::router
