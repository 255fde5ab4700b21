#pragma once

#include "libcaraway/base/clock.hpp"

namespace standin_platform
{

/// A token bucket that holds one second's worth, and at least one.
class rate_limit
{
public:
    explicit rate_limit(const caraway::base::clock& clock);

    /// Takes `count` when there are as many; a rate of 0 never refuses.
    bool take(int count, double per_second);

private:
    const caraway::base::clock& clock_;
    caraway::base::time_point last_;
    double rate_ = 0;
    double tokens_ = 0;
};

}  // namespace standin_platform
