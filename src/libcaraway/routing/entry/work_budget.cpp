#include "libcaraway/routing/entry/work_budget.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::routing::entry
{

namespace
{

using real_seconds = std::chrono::duration<double>;

}  // namespace

work_budget::work_budget(work_budget_options options) : options_(options) {}

void work_budget::advance(base::duration elapsed, double admitted)
{
    const bool is_valid =
        elapsed > base::duration::zero() && std::isfinite(admitted) && admitted >= 0;
    if (!is_valid)
    {
        return;
    }
    const double seconds = real_seconds(elapsed).count();
    work_rate_ += (admitted / seconds - work_rate_) * options_.smoothing;
    left_ = std::min(burst_work(), left_ + options_.refusals * work_rate_ * seconds);
}

double work_budget::burst_work() const
{
    return options_.refusals * work_rate_ * real_seconds(options_.burst).count();
}

void work_budget::record_refusal()
{
    left_ = std::max(left_ - options_.refusal_work, -std::max(burst_work(), options_.refusal_work));
}

}  // namespace caraway::routing::entry
