#include "libcaraway/routing/prefill_pace.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing
{

namespace
{

/// Weights below this are dropped, and with them what is known of upstreams that ended.
constexpr double least_weight_tokens = 50;

void add(prefill_record& to, const prefill_record& what)
{
    to.milliseconds += what.milliseconds;
    to.tokens += what.tokens;
}

}  // namespace

prefill_pace::prefill_pace(prefill_pace_options options) : options_(options) {}

void prefill_pace::record_prefill(const base::upstream_id& id, std::uint64_t ahead,
                                  std::uint32_t tokens, base::duration took, base::time_point now)
{
    const auto all = static_cast<double>(ahead + tokens);
    if (tokens < options_.least_tokens || static_cast<double>(ahead) > options_.most_ahead * all)
    {
        return;
    }
    const double expected = ms_per_token(id) * all;
    const double reading = std::chrono::duration<double, std::milli>(took - options_.start).count();
    auto& mine = own_[id];
    age(mine, now);
    add(mine.seen,
        {.milliseconds = std::clamp(reading, 0.0, options_.most_times * expected), .tokens = all});
}

void prefill_pace::set_peer(const base::node_id& peer, prefill_records records,
                            base::time_point now)
{
    peers_[peer] = {.records = std::move(records), .heard = now};
}

prefill_records prefill_pace::own_records(base::time_point now)
{
    prefill_records out;
    for (auto each = own_.begin(); each != own_.end();)
    {
        age(each->second, now);
        if (each->second.seen.tokens < least_weight_tokens)
        {
            each = own_.erase(each);
            continue;
        }
        out[each->first] = each->second.seen;
        ++each;
    }
    return out;
}

void prefill_pace::refresh(base::time_point now)
{
    std::erase_if(peers_, [&](const auto& each)
                  { return each.second.heard + options_.peer_lifetime <= now; });
    auto total = own_records(now);
    for (const auto& [peer, known] : peers_)
    {
        for (const auto& [id, seen] : known.records)
        {
            add(total[id], seen);
        }
    }
    all_ = {.milliseconds = options_.first_ms_per_token * options_.prior_tokens,
            .tokens = options_.prior_tokens};
    for (const auto& [id, seen] : total)
    {
        add(all_, seen);
    }
    paces_.clear();
    for (const auto& [id, seen] : total)
    {
        paces_[id] = (seen.milliseconds + usual_pace() * options_.prior_tokens) /
                     (seen.tokens + options_.prior_tokens);
    }
}

double prefill_pace::usual_pace() const
{
    return all_.tokens > 0 ? all_.milliseconds / all_.tokens : options_.first_ms_per_token;
}

double prefill_pace::ms_per_token(const base::upstream_id& id) const
{
    const auto found = paces_.find(id);
    return found == paces_.end() ? usual_pace() : found->second;
}

void prefill_pace::age(aging_record& of, base::time_point now) const
{
    const double halves = std::chrono::duration<double>(now - of.at) /
                          std::chrono::duration<double>(options_.half_life);
    const double kept = of.at == base::time_point{} ? 0 : std::exp2(-halves);
    of.seen.milliseconds *= kept;
    of.seen.tokens *= kept;
    of.at = now;
}

}  // namespace caraway::routing
