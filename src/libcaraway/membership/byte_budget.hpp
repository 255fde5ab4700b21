#pragma once

#include "libcaraway/base/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace caraway::membership
{

/// Token bucket for the optional part of the traffic: refilled at a constant rate in bytes per
/// second, up to `burst` bytes. It may be overdrawn; nothing is available until the debt has been
/// refilled.
class byte_budget
{
public:
    byte_budget(std::size_t bytes_per_s, std::size_t burst, base::time_point now)
        : rate_(static_cast<double>(bytes_per_s)), burst_(static_cast<double>(burst)),
          available_(burst_), updated_at_(now)
    {
    }

    std::size_t available(base::time_point now)
    {
        const double seconds = std::chrono::duration<double>(now - updated_at_).count();
        available_ = std::min(burst_, available_ + seconds * rate_);
        updated_at_ = now;
        return available_ < 0 ? 0 : static_cast<std::size_t>(available_);
    }
    void spend(std::size_t bytes)
    {
        available_ -= static_cast<double>(bytes);
    }

private:
    double rate_;
    double burst_;
    double available_;
    base::time_point updated_at_;
};

}  // namespace caraway::membership
