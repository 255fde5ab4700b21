// What a router makes of the upstreams that the store and its peers tell of.
#include "libcaraway/router/daemon.hpp"

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// News of more upstreams at a time are one line: at a start of some hundred routers there would be
/// one for each of them and each upstream.
constexpr std::size_t most_lines = 8;
/// How long a router that starts expects to learn of others.
constexpr milliseconds first_peers{3000};

}  // namespace

void daemon::apply_upstreams(const std::vector<row>& rows,
                             std::optional<std::uint64_t> listing_revision, std::string_view source)
{
    const auto now = core_.now();
    std::vector<const row*> news;
    std::set<base::upstream_id> listed;
    // In the order in which they were written: an upstream may start and leave within one answer.
    for (const auto& each : rows)
    {
        const base::upstream_id id(each.key);
        if (each.removed)
        {
            unreadable_keys_.erase(each.key);
            log_removed(
                id, source, each.revision,
                name(core_.directory.remove(id, {.revision = each.revision, .heard = now})));
            continue;
        }
        listed.insert(id);
        if (apply_upstream(each))
        {
            news.push_back(&each);
        }
    }
    log_upstreams(news, source);
    if (listing_revision)
    {
        for (const auto& id :
             core_.directory.keep_only(listed, {.revision = *listing_revision, .heard = now}))
        {
            log_removed(id, source, *listing_revision, "not_in_listing");
        }
        upstreams_listed_ = true;
    }
    if (upstream_rows_.size() > core_.directory.size())
    {
        std::erase_if(upstream_rows_, [&](const auto& each)
                      { return core_.directory.find(base::upstream_id(each.first)) == nullptr; });
    }
    core_.dispatch_waiting();
}

void daemon::log_upstreams(const std::vector<const row*>& changes, std::string_view source)
{
    if (changes.size() > most_lines)
    {
        std::string all;
        for (const auto* each : changes)
        {
            const auto* entry = core_.directory.find(base::upstream_id(each->key));
            all += each->key + (entry != nullptr && entry->draining ? " draining, " : ", ");
        }
        core_.log.line("upstreams", {{"count", changes.size()},
                                     {"from", source},
                                     {"revision", changes.back()->revision},
                                     {"upstreams", all}});
        return;
    }
    for (const auto* each : changes)
    {
        if (const auto* entry = core_.directory.find(base::upstream_id(each->key)))
        {
            core_.log.line("upstream", {{"upstream", each->key},
                                        {"service", entry->service.str()},
                                        {"address", entry->address.ip},
                                        {"draining", entry->draining},
                                        {"from", source},
                                        {"revision", each->revision}});
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
    const auto log_dropped = [&](const auto& dropped, std::string_view outcome)
    {
        for (const auto& id : dropped)
        {
            log_removed(id, "grace", upstreams_->revision(), outcome);
        }
    };
    const auto doubts = core_.directory.doubts_since();
    if (doubts && peers_.store_held_since(*doubts, now))
    {
        log_dropped(core_.directory.store_was_there(now), "store_was_there");
    }
    log_dropped(core_.directory.expire(now), "grace_over");
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
    const bool news = known == nullptr || known->draining != entry.draining;
    const auto change =
        core_.directory.put(entry, {.revision = upstream_row.revision, .heard = core_.now()});
    if (change == routing::upstream_directory::change::outdated)
    {
        return false;
    }
    unreadable_keys_.erase(upstream_row.key);
    upstream_rows_[upstream_row.key] = upstream_row;
    const bool restarted = change == routing::upstream_directory::change::restarted;
    if (restarted)
    {
        core_.record_restart(entry.id, entry.born);
    }
    record_warmup(entry, known == nullptr || restarted);
    return news;
}

void daemon::record_warmup(const routing::upstream& entry, bool appeared)
{
    if (entry.warmup_left)
    {
        core_.record_cold(entry, *entry.warmup_left, "its_entry");
    }
    else if (appeared && upstreams_listed_)
    {
        core_.record_cold(entry, core_.slow_start.terms_of(entry.service).lasts, "appeared");
    }
}

void daemon::update_warmups(base::time_point now)
{
    if (core_.slow_start.any() || now >= next_sweep_)
    {
        auto fleet = peers_.fleet(now);
        const bool starts = fleet.peers.empty() && !core_.options.seeds.empty();
        fleet.cut_off |= starts && now - started_ < first_peers;
        core_.slow_start.set_fleet(std::move(fleet));
    }
    core_.expire_warmups();
}

void daemon::discard_unreadable(const row& upstream_row, const base::error& error)
{
    // What it said before no longer stands: whoever wrote over it, the upstream didn't say so.
    const routing::said when{.revision = upstream_row.revision, .heard = core_.now()};
    if (!core_.directory.forget(base::upstream_id(upstream_row.key), when))
    {
        return;
    }
    upstream_rows_.erase(upstream_row.key);
    if (unreadable_keys_.insert(upstream_row.key).second)
    {
        core_.log.line("upstream_unreadable",
                       {{"upstream", upstream_row.key}, {"because", error.message}});
    }
}

bool daemon::has_tables() const
{
    return core_.table() != nullptr && core_.directory.size() > 0;
}

}  // namespace caraway::router
