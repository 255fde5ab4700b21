#include "libcaraway/routing/shares/yield_reserve.hpp"

#include "libcaraway/routing/shares/usage_windows.hpp"

#include <algorithm>

namespace caraway::routing::shares
{

void yield_reserve::update(const workspace_usage& total, base::duration elapsed,
                           const share_options& options)
{
    const double recent_served = std::max(1.0, usage_windows::refusal_span * total.served);
    const double held = std::min(options.max_held, total.held_by_engines / recent_served);
    const double seconds = std::min(1.0, std::chrono::duration<double>(elapsed).count());
    value_ += seconds * options.reserve_gain * (held - options.held_tolerated);
    value_ = std::clamp(value_, 0.0, 1.0);
}

}  // namespace caraway::routing::shares
