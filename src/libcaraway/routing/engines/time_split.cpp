#include "libcaraway/routing/engines/time_split.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::engines
{

namespace
{

constexpr std::chrono::seconds half_life{30};
/// Assumed before any request.
constexpr double default_prefill_part = 0.5;

}  // namespace

void time_split::add(double prefill_ms, double decode_ms, double running, base::time_point now)
{
    const double half_lives =
        std::chrono::duration<double>(now - updated_) / std::chrono::duration<double>(half_life);
    const double decay = std::exp2(-std::max(0.0, half_lives));
    prefill_ms_ = prefill_ms_ * decay + prefill_ms;
    decode_ms_ = decode_ms_ * decay + decode_ms / (1 + running);
    updated_ = now;
}

double time_split::prefill_part() const
{
    const double total = prefill_ms_ + decode_ms_;
    return total > 0 ? prefill_ms_ / total : default_prefill_part;
}

}  // namespace caraway::routing::engines
