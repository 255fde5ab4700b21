#include "libcaraway/attempts/crash_suspects.hpp"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/nil_generator.hpp>

#include <algorithm>
#include <initializer_list>
#include <iterator>
#include <string>

namespace caraway::attempts
{

namespace
{

/// More marks than this say nothing new; bounds what a peer can make us keep.
constexpr std::size_t max_marks = 8;

/// The first bits of a SHA-1 over the fields, each with its length before it: what a caller writes
/// can't be made to look like another caller's request.
template <class Number>
Number hash_of(std::initializer_list<std::string_view> fields)
{
    std::string all;
    for (const auto field : fields)
    {
        all += std::to_string(field.size()) + ':';
        all += field;
    }
    const boost::uuids::name_generator_sha1 generate(boost::uuids::nil_uuid());
    const auto hash = generate(all);
    Number value{};
    for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
    {
        value = static_cast<Number>(value << 8U) | hash.data[byte];
    }
    return value;
}

}  // namespace

request_fingerprint fingerprint_of(const base::workspace_id& workspace,
                                   const base::service_id& service, std::string_view body)
{
    return request_fingerprint{hash_of<std::uint64_t>({workspace.str(), service.str(), body})};
}

upstream_fingerprint upstream_fingerprint_of(const base::upstream_id& upstream)
{
    return upstream_fingerprint{hash_of<std::uint32_t>({upstream.str()})};
}

crash_suspects::crash_suspects(crash_options options) : options_(options) {}

void crash_suspects::record_crash(const base::upstream_id& upstream,
                                  const std::vector<request_fingerprint>& in_flight, bool ran_alone,
                                  base::time_point now)
{
    drop_expired(now);
    const auto is_refused = [&](request_fingerprint each)
    {
        return verdict(each, now) == crash_verdict::refuse;
    };
    // It may have been sent before it was refused; then it needs no other explanation.
    const bool culprit_aboard = std::any_of(in_flight.begin(), in_flight.end(), is_refused);
    const auto mark = upstream_fingerprint_of(upstream);
    for (const auto fingerprint : in_flight)
    {
        if (culprit_aboard && !is_refused(fingerprint))
        {
            continue;
        }
        auto& charged = suspects_[fingerprint];
        if (charged.cleared || charged.upstreams.size() >= max_marks)
        {
            continue;
        }
        charged.upstreams.insert(mark);
        charged.ran_alone = charged.ran_alone || ran_alone;
        charged.expires = std::max(charged.expires, now + options_.suspect_lifetime);
    }
    judge_all(now);
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
    judge_all(now);
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
    return unexplained({fingerprint, *found}).empty() ? crash_verdict::run
                                                      : crash_verdict::quarantine;
}

std::uint32_t crash_suspects::crash_count(request_fingerprint fingerprint,
                                          base::time_point now) const
{
    const auto* const found = find(fingerprint, now);
    return found == nullptr ? 0 : static_cast<std::uint32_t>(found->upstreams.size());
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
        const auto mark = upstream_fingerprint_of(upstream);
        const bool crashed_before =
            found != suspects_.end() && found->second.upstreams.contains(mark);
        return std::pair(crashed_before, mark);
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
    std::vector<suspect_entry> all;
    for (const auto& [fingerprint, value] : suspects_)
    {
        if (value.expires <= now)
        {
            continue;
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(value.expires - now);
        all.push_back({.fingerprint = fingerprint,
                       .upstreams = {value.upstreams.begin(), value.upstreams.end()},
                       .ran_alone = value.ran_alone,
                       .cleared = value.cleared,
                       .expires_in_ms = static_cast<std::uint32_t>(left.count())});
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& a, const auto& b)
                     {
                         return std::pair(a.ran_alone, a.upstreams.size()) >
                                std::pair(b.ran_alone, b.upstreams.size());
                     });
    all.resize(std::min(all.size(), limit));
    return all;
}

void crash_suspects::merge(const std::vector<suspect_entry>& others, base::time_point now)
{
    drop_expired(now);
    for (const auto& other : others)
    {
        merge_one(other, now);
    }
    judge_all(now);
    evict_over_capacity();
}

void crash_suspects::merge_one(const suspect_entry& other, base::time_point now)
{
    const auto known = suspects_.find(other.fingerprint);
    const auto before = known == suspects_.end() ? suspect{} : known->second;
    auto merged = before;
    for (const auto mark : other.upstreams)
    {
        if (merged.upstreams.size() < max_marks)
        {
            merged.upstreams.insert(mark);
        }
    }
    merged.ran_alone = before.ran_alone || other.ran_alone;
    merged.cleared = before.cleared || other.cleared;
    merged.refused = before.refused && !merged.cleared;
    const bool news = merged.upstreams != before.upstreams ||
                      merged.ran_alone != before.ran_alone || merged.cleared != before.cleared;
    if (!news)
    {
        // Else routers would keep an entry alive for each other by telling it in turn.
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

/// Crashes that no refused request was in.
std::set<upstream_fingerprint> crash_suspects::unexplained(suspect_map::const_reference entry) const
{
    auto marks = entry.second.upstreams;
    for (const auto& [fingerprint, other] : suspects_)
    {
        if (fingerprint == entry.first || !other.refused)
        {
            continue;
        }
        std::erase_if(marks,
                      [&other = other](auto mark) { return other.upstreams.contains(mark); });
    }
    return marks;
}

bool crash_suspects::is_guilty(suspect_map::const_reference entry) const
{
    const auto& [fingerprint, value] = entry;
    const auto fewest =
        std::min(options_.refusal_threshold, options_.unconditional_refusal_threshold);
    if (value.cleared || (!value.ran_alone && value.upstreams.size() < fewest))
    {
        return false;
    }
    const auto marks = unexplained(entry);
    return (value.ran_alone && !marks.empty()) ||
           marks.size() >= options_.unconditional_refusal_threshold ||
           (marks.size() >= options_.refusal_threshold && !is_ambiguous(fingerprint, marks));
}

/// Whether another suspect was in each of these crashes, so that it can't be told which it was.
bool crash_suspects::is_ambiguous(request_fingerprint fingerprint,
                                  const std::set<upstream_fingerprint>& marks) const
{
    return std::any_of(suspects_.begin(), suspects_.end(),
                       [&](const auto& each)
                       {
                           const auto& [other, value] = each;
                           return other != fingerprint && !value.cleared && !value.refused &&
                                  std::includes(value.upstreams.begin(), value.upstreams.end(),
                                                marks.begin(), marks.end());
                       });
}

/// Whoever is found guilty explains crashes of others, so those that were alone come first. Those
/// of one pass are found together: else the first of two that were in the same crashes would be
/// refused, guilty or not, and the other cleared.
void crash_suspects::judge_all(base::time_point now)
{
    for (const bool ran_alone : {true, false})
    {
        std::vector<suspect*> guilty;
        for (auto& entry : suspects_)
        {
            if (!entry.second.refused && entry.second.ran_alone == ran_alone && is_guilty(entry))
            {
                guilty.push_back(&entry.second);
            }
        }
        for (auto* const found : guilty)
        {
            found->refused = true;
            found->expires = std::max(found->expires, now + options_.refusal_duration);
        }
    }
}

void crash_suspects::drop_expired(base::time_point now)
{
    std::erase_if(suspects_, [now](const auto& each) { return each.second.expires <= now; });
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
