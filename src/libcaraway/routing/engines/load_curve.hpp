#pragma once

#include "libcaraway/base/clock.hpp"

#include <chrono>

namespace caraway::routing::engines
{

/// Time that one piece of work takes at the mean upstream of a service, as a straight line over the
/// requests running there. Fitted by least squares to samples that lose half of their weight within
/// `half_life`, so that it follows a service whose upstreams all slow down and recover.
class load_curve
{
public:
    explicit load_curve(std::chrono::milliseconds half_life) : half_life_(half_life) {}

    /// Adds a sample: `milliseconds` for a piece of work next to `running` other requests.
    void add(double running, double milliseconds, double weight, base::time_point now);
    /// Expected time in ms next to `running` other requests; 0 while there are too few samples.
    double expected_ms(double running) const;

private:
    void apply_decay(base::time_point now);

    std::chrono::milliseconds half_life_;
    base::time_point updated_{};
    /// Weighted sums over the samples.
    double weight_ = 0;
    double running_ = 0;
    double milliseconds_ = 0;
    double running_squared_ = 0;
    double product_ = 0;
};

}  // namespace caraway::routing::engines
