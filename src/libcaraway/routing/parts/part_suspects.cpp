#include "libcaraway/routing/parts/part_suspects.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>

namespace caraway::routing::parts
{

namespace
{

using std::chrono::milliseconds;

milliseconds age_of(base::time_point at, base::time_point now)
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - at));
}

/// Order in which parts are sent. Of those with equally many crashes the latest come first, as
/// others don't know of these yet.
std::pair<std::size_t, milliseconds> rank_of(const part_evidence& evidence)
{
    auto newest_age = milliseconds::max();
    for (const auto& crash : evidence.crashes)
    {
        newest_age = std::min(newest_age, crash.age);
    }
    return {evidence.crashes.size(), -newest_age};
}

}  // namespace

part_fingerprints shared_parts(const std::vector<prompt_part>& parts)
{
    part_fingerprints result;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index)
    {
        result.push_back(part_fingerprint{scheduling::stable_hash(parts[index].id)});
    }
    return result;
}

part_suspects::part_suspects(const part_suspect_options& options) : options_(options) {}

bool part_suspects::refuses(const part_fingerprints& parts, base::time_point now) const
{
    return refused_until(parts, now).has_value();
}

std::optional<base::time_point> part_suspects::refused_until(const part_fingerprints& parts,
                                                             base::time_point now) const
{
    std::optional<base::time_point> latest;
    for (const auto& each : causes_)
    {
        const bool has_all = std::all_of(
            each.parts.begin(), each.parts.end(),
            [&](auto part) { return std::find(parts.begin(), parts.end(), part) != parts.end(); });
        if (has_all && is_refused(each, now))
        {
            const auto until = each.newest_crash + options_.refusal_duration;
            latest = latest ? std::max(*latest, until) : until;
        }
    }
    return latest;
}

bool part_suspects::is_refused(const cause& found, base::time_point now) const
{
    return now >= found.oldest_crash + options_.settling_time &&
           now < found.newest_crash + options_.refusal_duration;
}

void part_suspects::record_crash(const attempts::upstream_incarnation& upstream,
                                 const part_fingerprints& parts, base::time_point at,
                                 base::time_point now)
{
    expire(now);
    const auto crash = attempts::fingerprint_of(upstream);
    for (const auto part : parts)
    {
        add_crash(suspects_[part], crash, at);
    }
    evict_over_capacity();
    find_causes();
}

void part_suspects::record_sound(const part_fingerprints& parts, base::time_point began)
{
    bool cancelled_crashes = false;
    for (const auto part : parts)
    {
        const auto found = suspects_.find(part);
        if (found == suspects_.end())
        {
            continue;
        }
        auto& entry = found->second;
        entry.own_sound = entry.own_sound ? std::max(*entry.own_sound, began) : began;
        cancelled_crashes = add_sound(entry, began) || cancelled_crashes;
    }
    if (cancelled_crashes)
    {
        find_causes();
    }
}

void part_suspects::expire(base::time_point now)
{
    const auto removed =
        std::erase_if(suspects_, [&](const auto& entry) { return expiry(entry.second) <= now; });
    if (removed > 0)
    {
        find_causes();
    }
}

std::vector<part_evidence> part_suspects::entries(base::time_point now) const
{
    std::vector<part_evidence> result;
    for (const auto& [part, value] : suspects_)
    {
        part_evidence evidence{.part = part};
        const auto& sent_crashes = is_cause(part) ? value.crashes : unexplained_.at(part);
        for (const auto& [fingerprint, at] : sent_crashes)
        {
            evidence.crashes.push_back({.fingerprint = fingerprint, .age = age_of(at, now)});
        }
        // Only what this router saw itself: passed on from router to router, it would seem younger
        // each time by the time on the way, and cancel crashes that came after it.
        if (value.own_sound)
        {
            evidence.sound_age = age_of(*value.own_sound, now);
        }
        if (!evidence.crashes.empty() || evidence.sound_age)
        {
            result.push_back(std::move(evidence));
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const auto& a, const auto& b) { return rank_of(a) > rank_of(b); });
    result.resize(std::min(result.size(), options_.max_digest_entries));
    return result;
}

void part_suspects::merge(const std::vector<part_evidence>& peer_entries, base::time_point now)
{
    bool changed = false;
    for (const auto& received : peer_entries)
    {
        const bool is_known = suspects_.contains(received.part);
        if (!is_known && received.crashes.empty())
        {
            continue;
        }
        auto& entry = suspects_[received.part];
        changed = changed || !is_known;
        if (received.sound_age)
        {
            changed = add_sound(entry, now - *received.sound_age) || changed;
        }
        for (const auto& each : received.crashes)
        {
            changed = add_crash(entry, each.fingerprint, now - each.age) || changed;
        }
    }
    expire(now);
    if (changed)
    {
        evict_over_capacity();
        find_causes();
    }
}

/// Returns whether the crash is new and not cancelled by a later sound answer.
bool part_suspects::add_crash(suspect& entry, const attempts::crash_fingerprint& crash,
                              base::time_point at) const
{
    if (const auto known = entry.crashes.find(crash); known != entry.crashes.end())
    {
        known->second = std::min(known->second, at);
        return false;
    }
    if (attempts::contains_crash(entry.crashes, crash))
    {
        return false;
    }
    if (entry.sound && at <= *entry.sound)
    {
        return false;
    }
    attempts::remove_same_crash(entry.crashes, crash);
    entry.crashes.emplace(crash, at);
    if (entry.crashes.size() <= options_.max_crashes)
    {
        return true;
    }
    const auto oldest =
        std::min_element(entry.crashes.begin(), entry.crashes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    const bool is_new = oldest->first != crash;
    entry.crashes.erase(oldest);
    return is_new;
}

/// Returns whether crashes were cancelled.
bool part_suspects::add_sound(suspect& entry, base::time_point began)
{
    entry.sound = entry.sound ? std::max(*entry.sound, began) : began;
    const auto cancelled = std::erase_if(entry.crashes, [&](const auto& crash)
                                         { return crash.second <= *entry.sound; });
    return cancelled > 0;
}

base::time_point part_suspects::expiry(const suspect& entry) const
{
    base::time_point end{};
    if (entry.sound)
    {
        end = *entry.sound + options_.sound_lifetime;
    }
    const bool is_refused = count_separate(entry.crashes) >= options_.min_crashes;
    const auto lifetime = is_refused ? 2 * options_.refusal_duration : options_.suspect_lifetime;
    for (const auto& [unused, at] : entry.crashes)
    {
        end = std::max(end, at + lifetime);
    }
    return end;
}

std::size_t part_suspects::count_separate(const crash_times& crashes) const
{
    std::vector<base::time_point> times;
    for (const auto& [unused, at] : crashes)
    {
        times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<base::time_point> last;
    for (const auto at : times)
    {
        if (!last || at - *last >= options_.min_separation)
        {
            ++count;
            last = at;
        }
    }
    return count;
}

void part_suspects::find_causes()
{
    unexplained_.clear();
    for (const auto& [part, entry] : suspects_)
    {
        unexplained_.emplace(part, entry.crashes);
    }
    causes_.clear();
    while (const auto explained = most_crashes())
    {
        causes_.push_back(take_cause(*explained));
    }
}

/// The unexplained crashes of the part that has most of them; empty if none has enough.
std::optional<part_suspects::crash_times> part_suspects::most_crashes() const
{
    const crash_times* most = nullptr;
    std::pair<std::size_t, std::size_t> highest{options_.min_crashes, 0};
    for (const auto& [unused, crashes] : unexplained_)
    {
        const std::pair rank(count_separate(crashes), crashes.size());
        if (rank > highest)
        {
            highest = rank;
            most = &crashes;
        }
    }
    return most == nullptr ? std::nullopt : std::optional(*most);
}

/// Explains these crashes by the parts that have all of them left.
part_suspects::cause part_suspects::take_cause(const crash_times& explained)
{
    cause found{.crashes = explained.size(), .oldest_crash = explained.begin()->second};
    for (const auto& [unused, at] : explained)
    {
        found.oldest_crash = std::min(found.oldest_crash, at);
        found.newest_crash = std::max(found.newest_crash, at);
    }
    for (auto& [part, crashes] : unexplained_)
    {
        const auto removed = std::erase_if(crashes, [&](const auto& crash)
                                           { return explained.contains(crash.first); });
        if (removed == explained.size())
        {
            found.parts.push_back(part);
        }
    }
    return found;
}

bool part_suspects::is_cause(part_fingerprint part) const
{
    return std::any_of(
        causes_.begin(), causes_.end(),
        [&](const auto& each)
        { return std::find(each.parts.begin(), each.parts.end(), part) != each.parts.end(); });
}

void part_suspects::evict_over_capacity()
{
    while (suspects_.size() > options_.capacity)
    {
        const auto rank = [this](const auto& entry)
        {
            return std::pair(entry.second.crashes.size(), expiry(entry.second));
        };
        const auto first =
            std::min_element(suspects_.begin(), suspects_.end(),
                             [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
        suspects_.erase(first);
    }
}

}  // namespace caraway::routing::parts
