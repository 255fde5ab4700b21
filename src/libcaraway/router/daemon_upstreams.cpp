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

void daemon::take_upstreams(const std::vector<row>& rows, std::optional<std::uint64_t> whole_at,
                            std::string_view from)
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
            unreadable_.erase(each.key);
            log_removed(
                id, from, each.revision,
                name(core_.directory.remove(id, {.revision = each.revision, .heard = now})));
            continue;
        }
        listed.insert(id);
        if (take_upstream(each))
        {
            news.push_back(&each);
        }
    }
    log_news(news, from);
    if (whole_at)
    {
        for (const auto& id :
             core_.directory.keep_only(listed, {.revision = *whole_at, .heard = now}))
        {
            log_removed(id, from, *whole_at, "not_in_listing");
        }
        upstreams_listed_ = true;
    }
    if (upstream_rows_.size() > core_.directory.size())
    {
        std::erase_if(upstream_rows_, [&](const auto& each)
                      { return core_.directory.find(base::upstream_id(each.first)) == nullptr; });
    }
    core_.pump();
}

void daemon::log_news(const std::vector<const row*>& news, std::string_view from)
{
    if (news.size() > most_lines)
    {
        std::string all;
        for (const auto* each : news)
        {
            const auto* entry = core_.directory.find(base::upstream_id(each->key));
            all += each->key + (entry != nullptr && entry->draining ? " draining, " : ", ");
        }
        core_.log.line("upstreams", {{"count", news.size()},
                                     {"from", from},
                                     {"revision", news.back()->revision},
                                     {"upstreams", all}});
        return;
    }
    for (const auto* each : news)
    {
        if (const auto* entry = core_.directory.find(base::upstream_id(each->key)))
        {
            core_.log.line("upstream", {{"upstream", each->key},
                                        {"service", entry->service.str()},
                                        {"address", entry->address.ip},
                                        {"draining", entry->draining},
                                        {"from", from},
                                        {"revision", each->revision}});
        }
    }
}

void daemon::log_removed(const base::upstream_id& id, std::string_view from, std::uint64_t revision,
                         std::string_view outcome)
{
    core_.log.line(
        "upstream_removed",
        {{"upstream", id.str()}, {"from", from}, {"revision", revision}, {"outcome", outcome}});
}

void daemon::drop_missing(base::time_point now)
{
    const auto log_dropped = [&](const auto& dropped, std::string_view outcome)
    {
        for (const auto& id : dropped)
        {
            log_removed(id, "grace", upstreams_->revision(), outcome);
        }
    };
    const auto doubts = core_.directory.doubts_since();
    if (doubts && peers_.any_fresh_since(*doubts, now))
    {
        log_dropped(core_.directory.store_was_there(now), "store_was_there");
    }
    log_dropped(core_.directory.expire(now), "grace_over");
}

bool daemon::take_upstream(const row& each)
{
    auto decoded = platform_.decode_upstream(each);
    if (!decoded)
    {
        drop_unreadable(each, decoded.error());
        return false;
    }
    const auto& entry = decoded.value();
    const auto* known = core_.directory.find(entry.id);
    const bool news = known == nullptr || known->draining != entry.draining;
    const auto change =
        core_.directory.put(entry, {.revision = each.revision, .heard = core_.now()});
    if (change == routing::upstream_directory::change::outdated)
    {
        return false;
    }
    unreadable_.erase(each.key);
    upstream_rows_[each.key] = each;
    const bool restarted = change == routing::upstream_directory::change::restarted;
    if (restarted)
    {
        core_.note_restarted(entry.id, entry.born);
    }
    note_warmup(entry, known == nullptr || restarted);
    return news;
}

void daemon::note_warmup(const routing::upstream& entry, bool appeared)
{
    if (entry.warmup_left)
    {
        core_.note_cold(entry, *entry.warmup_left, "its_entry");
    }
    else if (appeared && upstreams_listed_)
    {
        core_.note_cold(entry, core_.cold.terms_of(entry.service).lasts, "appeared");
    }
}

void daemon::follow_warmups(base::time_point now)
{
    if (core_.cold.any() || now >= next_sweep_)
    {
        auto fleet = peers_.fleet(now);
        const bool starts = fleet.peers.empty() && !core_.options.seeds.empty();
        fleet.cut_off |= starts && now - started_ < first_peers;
        core_.cold.set_fleet(std::move(fleet));
    }
    core_.note_warm();
}

void daemon::drop_unreadable(const row& from, const base::error& why)
{
    // What it said before no longer stands: whoever wrote over it, the upstream didn't say so.
    const routing::said when{.revision = from.revision, .heard = core_.now()};
    if (!core_.directory.forget(base::upstream_id(from.key), when))
    {
        return;
    }
    upstream_rows_.erase(from.key);
    if (unreadable_.insert(from.key).second)
    {
        core_.log.line("upstream_unreadable", {{"upstream", from.key}, {"because", why.message}});
    }
}

bool daemon::knows_all() const
{
    return core_.table() != nullptr && core_.directory.size() > 0;
}

}  // namespace caraway::router
