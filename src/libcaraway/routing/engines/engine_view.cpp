#include "libcaraway/routing/engines/engine_view.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caraway::routing::engines
{

namespace
{

/// Costs at an upstream of average speed.
constexpr std::chrono::duration<double, std::milli> mean_running_request_cost{1.5};
constexpr std::chrono::duration<double, std::milli> mean_call_time{20};
/// Streams with fewer events say too little of the time per event.
constexpr std::uint32_t min_events = 3;
/// Gaps between events from which on a stream is a whole sample.
constexpr double gaps_per_sample = 8;
/// Factor by which an engine's throughput has to change to be told to those who place parts: each
/// change moves some parts, which have to be read again.
constexpr double throughput_step = 1.2;

double to_ms(std::chrono::duration<double, std::milli> duration)
{
    return duration.count();
}

bool is_within(double value, double other, double factor)
{
    return value < other * factor && value > other / factor;
}

/// The throughput in force after a new estimate.
double step_towards(double estimate, double in_force)
{
    if (is_within(estimate, in_force, throughput_step))
    {
        return in_force;
    }
    return is_within(estimate, 1, throughput_step) ? 1 : estimate;
}

}  // namespace

upstream_estimate engine_view::estimate(const base::upstream_id& id, base::time_point /*now*/) const
{
    const auto known = speeds_.find(id);
    if (known == speeds_.end())
    {
        return {.prefill_ms_per_token = prefill.mean_ms_per_token()};
    }
    const auto& speed = known->second;
    return {.prefill_ms_per_token = speed.prefill_ms_per_token,
            .running_request_cost = mean_running_request_cost * speed.slowness,
            .call_time = mean_call_time * speed.slowness};
}

double engine_view::relative_throughput(const base::upstream_id& id) const
{
    const auto known = speeds_.find(id);
    return known == speeds_.end() ? 1 : known->second.throughput;
}

double engine_view::max_running(const engine_capacity& engine, const base::upstream_id& /*id*/,
                                double slot_share) const
{
    return std::max(1.0, std::floor(slot_share * engine.slots));
}

double engine_view::part_taken(const engine_capacity& engine, const base::upstream_id& id,
                               const upstream_load& load,
                               std::chrono::milliseconds longest_wait) const
{
    const double reading_ms =
        static_cast<double>(load.pending_prefill_tokens) * prefill.ms_per_token(id);
    // One engine that stalls, with all its prompts unread, counts as full and no more.
    const double reading = std::min(1.0, reading_ms / std::max(1.0, to_ms(longest_wait)));
    return std::max(reading, memory_guard::part_taken(engine, load));
}

speed_summary engine_view::summary() const
{
    speed_summary out;
    for (const auto& [id, slowness] : pace.deviating())
    {
        out.slow += slowness > 1 ? 1 : 0;
        out.largest_slowness = std::max(out.largest_slowness, slowness);
    }
    return out;
}

void engine_view::record_attempt(const attempt_summary& ended, base::time_point now)
{
    pace_sample sample{
        .upstream = ended.upstream, .service = ended.service, .running = 1.0 * ended.running};
    if (!ended.is_engine)
    {
        sample.milliseconds = ended.complete && ended.until_answer ? to_ms(*ended.until_answer) : 0;
        pace.record(sample, now);
        return;
    }
    if (ended.events < min_events)
    {
        return;
    }
    const double gaps = ended.events - 1.0;
    sample.milliseconds = to_ms(ended.streaming) / gaps;
    sample.weight = std::min(1.0, gaps / gaps_per_sample);
    pace.record(sample, now);
    split_.add(static_cast<double>(ended.uncached_tokens) * prefill.ms_per_token(ended.upstream),
               to_ms(ended.streaming), sample.running, now);
}

void engine_view::forget(const base::upstream_id& id)
{
    pace.forget(id);
    prefill.forget(id);
    speeds_.erase(id);
}

void engine_view::merge_peer(const pace_records& records, base::time_point now)
{
    pace.merge(records, now);
}

pace_records engine_view::own_records(base::time_point now)
{
    return pace.take_untold(now);
}

void engine_view::refresh(base::time_point now)
{
    prefill.refresh(now);
    pace.refresh(now);
    const auto before = std::exchange(speeds_, {});
    for (const auto& [id, ms_per_token] : prefill.estimates())
    {
        speeds_[id].prefill_ms_per_token = ms_per_token;
    }
    for (const auto& [id, slowness] : pace.deviating())
    {
        speeds_.try_emplace(id, known_speed{.prefill_ms_per_token = prefill.mean_ms_per_token()})
            .first->second.slowness = slowness;
    }
    const double mean_prefill = prefill.mean_of_engines();
    for (auto& [id, speed] : speeds_)
    {
        const auto known = before.find(id);
        const double in_force = known == before.end() ? 1 : known->second.throughput;
        speed.throughput = step_towards(throughput(speed, mean_prefill), in_force);
    }
}

double engine_view::throughput(const known_speed& speed, double mean_prefill) const
{
    const double reading = speed.prefill_ms_per_token / mean_prefill;
    const double prefill_part = split_.prefill_part();
    return 1 / (prefill_part * reading + (1 - prefill_part) * speed.slowness);
}

}  // namespace caraway::routing::engines
