#include "standin_platform/rate_limit.hpp"

#include <algorithm>
#include <chrono>

namespace standin_platform
{

rate_limit::rate_limit(const caraway::base::clock& clock) : clock_(clock), last_(clock.now()) {}

bool rate_limit::take(int count, double per_second)
{
    if (per_second <= 0)
    {
        rate_ = 0;
        return true;
    }
    const auto now = clock_.now();
    const std::chrono::duration<double> passed = now - last_;
    // A limit that was just set begins with a full bucket.
    const double capacity = std::max(1.0, per_second);
    tokens_ =
        rate_ == per_second ? std::min(capacity, tokens_ + passed.count() * per_second) : capacity;
    rate_ = per_second;
    last_ = now;
    if (tokens_ < count)
    {
        return false;
    }
    tokens_ -= count;
    return true;
}

}  // namespace standin_platform
