#include "libcaraway/routing/engines/engine_view.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::engines
{

namespace
{

/// Fraction of an engine's KV cache that requests may reserve. The rest is for outputs longer than
/// expected, since an engine that runs out of memory prefills its newest request again.
constexpr double usable_kv_fraction = 0.92;

}  // namespace

upstream_estimate engine_view::estimate(const base::upstream_id& id, base::time_point /*now*/) const
{
    return {.prefill_ms_per_token = prefill.ms_per_token(id)};
}

double engine_view::relative_throughput(const base::upstream_id& /*id*/) const
{
    return 1;
}

double engine_view::max_running(const engine_capacity& engine, const base::upstream_id& /*id*/,
                                double slot_share) const
{
    return std::max(1.0, std::floor(slot_share * engine.slots));
}

std::uint64_t engine_view::max_tokens(const engine_capacity& engine,
                                      const base::upstream_id& /*id*/,
                                      base::time_point /*now*/) const
{
    return static_cast<std::uint64_t>(usable_kv_fraction * static_cast<double>(engine.kv_tokens));
}

void engine_view::record_attempt(const attempt_summary& /*ended*/, base::time_point /*now*/) {}

void engine_view::forget(const base::upstream_id& /*id*/) {}

void engine_view::set_peer(const base::node_id& /*peer*/, const pace_records& /*records*/,
                           base::time_point /*now*/)
{
}

pace_records engine_view::own_records(base::time_point /*now*/)
{
    return {};
}

void engine_view::refresh(base::time_point now)
{
    prefill.refresh(now);
}

}  // namespace caraway::routing::engines
