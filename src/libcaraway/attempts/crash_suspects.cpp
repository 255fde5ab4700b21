#include "libcaraway/attempts/crash_suspects.hpp"

#include "libcaraway/attempts/field_hash.hpp"

#include <algorithm>
#include <iterator>
#include <string>

namespace caraway::attempts
{

namespace
{

/// Maximum number of crashes kept per suspect. More would not change the verdict; the
/// limit bounds the memory that a peer can make this router use.
constexpr std::size_t max_crashes = 8;

}  // namespace

request_fingerprint fingerprint_of(const base::workspace_id& workspace,
                                   const base::service_id& service, std::string_view body)
{
    return request_fingerprint{hash_of<std::uint64_t>({workspace.str(), service.str(), body})};
}

crash_suspects::crash_suspects(crash_options options) : options_(options) {}

void crash_suspects::record_crash(const upstream_incarnation& upstream,
                                  const std::vector<request_fingerprint>& in_flight, bool ran_alone,
                                  base::time_point now)
{
    remove_expired(now);
    const auto is_refused = [&](request_fingerprint request)
    {
        return verdict(request, now) == crash_verdict::refuse;
    };
    // A refused request in flight (sent before it was refused) explains the crash.
    const bool refused_in_flight = std::any_of(in_flight.begin(), in_flight.end(), is_refused);
    const auto crash = fingerprint_of(upstream);
    for (const auto fingerprint : in_flight)
    {
        if (refused_in_flight && !is_refused(fingerprint))
        {
            continue;
        }
        auto& entry = suspects_[fingerprint];
        if (entry.cleared || entry.crashes.size() >= max_crashes)
        {
            continue;
        }
        add_crash(entry, crash);
        entry.ran_alone = entry.ran_alone || ran_alone;
        entry.expires = std::max(entry.expires, now + options_.suspect_lifetime);
    }
    update_refusals(now);
    evict_over_capacity();
}

void crash_suspects::record_completed(request_fingerprint fingerprint, base::time_point now)
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || found->second.cleared)
    {
        return;
    }
    found->second.cleared = true;
    found->second.refused = false;
    found->second.expires = now + options_.suspect_lifetime;
    update_refusals(now);
}

crash_verdict crash_suspects::verdict(request_fingerprint fingerprint, base::time_point now) const
{
    const auto* const found = find(fingerprint, now);
    if (found == nullptr || found->cleared)
    {
        return crash_verdict::run;
    }
    if (found->refused)
    {
        return crash_verdict::refuse;
    }
    return unexplained_crashes({fingerprint, *found}).empty() ? crash_verdict::run
                                                              : crash_verdict::quarantine;
}

std::uint32_t crash_suspects::crash_count(request_fingerprint fingerprint,
                                          base::time_point now) const
{
    const auto* const found = find(fingerprint, now);
    return found == nullptr ? 0 : static_cast<std::uint32_t>(found->crashes.size());
}

bool crash_suspects::begin_quarantine(request_fingerprint fingerprint)
{
    return quarantined_.size() < options_.max_quarantined &&
           quarantined_.insert(fingerprint).second;
}

void crash_suspects::end_quarantine(request_fingerprint fingerprint)
{
    quarantined_.erase(fingerprint);
}

std::optional<base::upstream_id>
crash_suspects::quarantine_upstream(request_fingerprint fingerprint,
                                    const std::vector<base::upstream_id>& live) const
{
    const auto found = suspects_.find(fingerprint);
    const auto rank = [&](const base::upstream_id& upstream)
    {
        const auto id_hash = upstream_fingerprint_of(upstream);
        const bool crashed_before = found != suspects_.end() &&
                                    contains_crash(found->second.crashes, {.upstream = id_hash});
        return std::pair(crashed_before, id_hash);
    };
    const auto best = std::min_element(
        live.begin(), live.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    if (best == live.end())
    {
        return std::nullopt;
    }
    return *best;
}

std::vector<suspect_entry> crash_suspects::entries(std::size_t limit, base::time_point now) const
{
    std::vector<suspect_entry> result;
    for (const auto& [fingerprint, value] : suspects_)
    {
        if (value.expires <= now)
        {
            continue;
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(value.expires - now);
        result.push_back({.fingerprint = fingerprint,
                          .crashes = {value.crashes.begin(), value.crashes.end()},
                          .ran_alone = value.ran_alone,
                          .cleared = value.cleared,
                          .expires_in_ms = static_cast<std::uint32_t>(left.count())});
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const auto& a, const auto& b) {
                         return std::pair(a.ran_alone, a.crashes.size()) >
                                std::pair(b.ran_alone, b.crashes.size());
                     });
    result.resize(std::min(result.size(), limit));
    return result;
}

void crash_suspects::merge(const std::vector<suspect_entry>& others, base::time_point now)
{
    remove_expired(now);
    for (const auto& other : others)
    {
        merge_entry(other, now);
    }
    update_refusals(now);
    evict_over_capacity();
}

void crash_suspects::add_crash(suspect& entry, const crash_fingerprint& crash)
{
    if (contains_crash(entry.crashes, crash))
    {
        return;
    }
    remove_same_crash(entry.crashes, crash);
    if (entry.crashes.size() < max_crashes)
    {
        entry.crashes.insert(crash);
    }
}

void crash_suspects::merge_entry(const suspect_entry& other, base::time_point now)
{
    const auto known = suspects_.find(other.fingerprint);
    const auto before = known == suspects_.end() ? suspect{} : known->second;
    auto merged = before;
    for (const auto& crash : other.crashes)
    {
        add_crash(merged, crash);
    }
    merged.ran_alone = before.ran_alone || other.ran_alone;
    merged.cleared = before.cleared || other.cleared;
    merged.refused = before.refused && !merged.cleared;
    const bool changed = merged.crashes != before.crashes || merged.ran_alone != before.ran_alone ||
                         merged.cleared != before.cleared;
    if (!changed)
    {
        // Extending the expiry here would let routers keep an entry alive by sending it back and
        // forth.
        return;
    }
    const std::chrono::milliseconds left(other.expires_in_ms);
    merged.expires = std::max(before.expires, now + std::min(left, options_.refusal_duration));
    suspects_[other.fingerprint] = merged;
}

const crash_suspects::suspect* crash_suspects::find(request_fingerprint fingerprint,
                                                    base::time_point now) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() || found->second.expires <= now ? nullptr : &found->second;
}

/// Crashes in which no refused request was in flight.
std::set<crash_fingerprint>
crash_suspects::unexplained_crashes(suspect_map::const_reference entry) const
{
    auto crashes = entry.second.crashes;
    for (const auto& [fingerprint, other] : suspects_)
    {
        if (fingerprint == entry.first || !other.refused)
        {
            continue;
        }
        std::erase_if(crashes, [&other = other](const auto& crash)
                      { return contains_crash(other.crashes, crash); });
    }
    return crashes;
}

bool crash_suspects::should_refuse(suspect_map::const_reference entry) const
{
    const auto& [fingerprint, value] = entry;
    const auto min_crashes =
        std::min(options_.refusal_threshold, options_.unconditional_refusal_threshold);
    if (value.cleared || (!value.ran_alone && value.crashes.size() < min_crashes))
    {
        return false;
    }
    const auto crashes = unexplained_crashes(entry);
    return (value.ran_alone && !crashes.empty()) ||
           crashes.size() >= options_.unconditional_refusal_threshold ||
           (crashes.size() >= options_.refusal_threshold && !is_ambiguous(fingerprint, crashes));
}

/// Whether another suspect was in flight in each of these crashes, so that either may be the cause.
bool crash_suspects::is_ambiguous(request_fingerprint fingerprint,
                                  const std::set<crash_fingerprint>& crashes) const
{
    return std::any_of(suspects_.begin(), suspects_.end(),
                       [&](const auto& entry)
                       {
                           const auto& [other, value] = entry;
                           return other != fingerprint && !value.cleared && !value.refused &&
                                  std::includes(value.crashes.begin(), value.crashes.end(),
                                                crashes.begin(), crashes.end());
                       });
}

/// Marks requests as refused. A refused request explains crashes of others, so requests that ran
/// alone are checked first. All requests of one pass are checked before any is marked: otherwise,
/// of two requests in the same crashes, the first would be refused whether it is the cause or not,
/// and the other would be cleared.
void crash_suspects::update_refusals(base::time_point now)
{
    for (const bool ran_alone : {true, false})
    {
        std::vector<suspect*> newly_refused;
        for (auto& entry : suspects_)
        {
            if (!entry.second.refused && entry.second.ran_alone == ran_alone &&
                should_refuse(entry))
            {
                newly_refused.push_back(&entry.second);
            }
        }
        for (auto* const found : newly_refused)
        {
            found->refused = true;
            found->expires = std::max(found->expires, now + options_.refusal_duration);
        }
    }
}

void crash_suspects::remove_expired(base::time_point now)
{
    std::erase_if(suspects_, [now](const auto& entry) { return entry.second.expires <= now; });
}

void crash_suspects::evict_over_capacity()
{
    while (suspects_.size() > options_.capacity)
    {
        const auto first = std::min_element(suspects_.begin(), suspects_.end(),
                                            [](const auto& a, const auto& b)
                                            { return a.second.expires < b.second.expires; });
        suspects_.erase(first);
    }
}

}  // namespace caraway::attempts
