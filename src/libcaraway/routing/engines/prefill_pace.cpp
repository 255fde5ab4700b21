#include "libcaraway/routing/engines/prefill_pace.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::engines
{

namespace
{

/// Records with less weight than this are dropped, and with them those of removed upstreams.
constexpr double min_weight_tokens = 50;

void add(prefill_record& sum, const prefill_record& record)
{
    sum.milliseconds += record.milliseconds;
    sum.tokens += record.tokens;
}

}  // namespace

prefill_pace::prefill_pace(prefill_pace_options options) : options_(options) {}

void prefill_pace::record_prefill(const base::upstream_id& id, std::uint64_t queued_tokens,
                                  std::uint32_t tokens, base::duration elapsed,
                                  base::time_point now)
{
    const auto total_tokens = static_cast<double>(queued_tokens + tokens);
    if (tokens < options_.min_tokens ||
        static_cast<double>(queued_tokens) > options_.max_queued_fraction * total_tokens)
    {
        return;
    }
    const double expected = ms_per_token(id) * total_tokens;
    const double prefill_ms =
        std::chrono::duration<double, std::milli>(elapsed - options_.fixed_latency).count();
    auto& own = own_[id];
    apply_decay(own, now);
    add(own.total,
        {.milliseconds = std::clamp(prefill_ms, 0.0, options_.max_sample_ratio * expected),
         .tokens = total_tokens});
}

void prefill_pace::set_peer(const base::node_id& peer, prefill_records records,
                            base::time_point now)
{
    peers_[peer] = {.records = std::move(records), .received = now};
}

prefill_records prefill_pace::own_records(base::time_point now)
{
    prefill_records out;
    for (auto entry = own_.begin(); entry != own_.end();)
    {
        apply_decay(entry->second, now);
        if (entry->second.total.tokens < min_weight_tokens)
        {
            entry = own_.erase(entry);
            continue;
        }
        out[entry->first] = entry->second.total;
        ++entry;
    }
    return out;
}

void prefill_pace::refresh(base::time_point now)
{
    std::erase_if(peers_, [&](const auto& entry)
                  { return entry.second.received + options_.peer_lifetime <= now; });
    auto totals = own_records(now);
    for (const auto& [peer, entry] : peers_)
    {
        for (const auto& [id, record] : entry.records)
        {
            add(totals[id], record);
        }
    }
    all_ = {.milliseconds = options_.initial_ms_per_token * options_.prior_tokens,
            .tokens = options_.prior_tokens};
    for (const auto& [id, record] : totals)
    {
        add(all_, record);
    }
    ms_per_token_.clear();
    for (const auto& [id, record] : totals)
    {
        ms_per_token_[id] = (record.milliseconds + mean_ms_per_token() * options_.prior_tokens) /
                            (record.tokens + options_.prior_tokens);
    }
}

double prefill_pace::mean_ms_per_token() const
{
    return all_.tokens > 0 ? all_.milliseconds / all_.tokens : options_.initial_ms_per_token;
}

double prefill_pace::mean_of_engines() const
{
    double sum = 0;
    for (const auto& [id, ms_per_token] : ms_per_token_)
    {
        sum += ms_per_token;
    }
    return sum > 0 ? sum / static_cast<double>(ms_per_token_.size()) : mean_ms_per_token();
}

double prefill_pace::ms_per_token(const base::upstream_id& id) const
{
    const auto found = ms_per_token_.find(id);
    return found == ms_per_token_.end() ? mean_ms_per_token() : found->second;
}

void prefill_pace::forget(const base::upstream_id& id)
{
    own_.erase(id);
    ms_per_token_.erase(id);
    for (auto& [peer, entry] : peers_)
    {
        entry.records.erase(id);
    }
}

void prefill_pace::apply_decay(decaying_record& record, base::time_point now) const
{
    const double half_lives = std::chrono::duration<double>(now - record.updated) /
                              std::chrono::duration<double>(options_.half_life);
    const double decay = record.updated == base::time_point{} ? 0 : std::exp2(-half_lives);
    record.total.milliseconds *= decay;
    record.total.tokens *= decay;
    record.updated = now;
}

}  // namespace caraway::routing::engines
