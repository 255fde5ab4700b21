#pragma once

#include <chrono>

namespace caraway::tests
{

/// What the VM of one workspace can do, as a stock of requests that time fills up.
class vm_limits
{
public:
    /// Requests per second that its processor has time for, and that its door reads.
    vm_limits(double processor_limit, double door_limit);

    void advance(std::chrono::milliseconds elapsed);
    /// Whether the door reads one more request.
    bool reads_one();
    /// Whether the processor has time for one more request.
    bool has_time_for_one();

private:
    double processor_limit_;
    double door_limit_;
    double processor_stock_ = 0;
    double door_stock_ = 0;
};

}  // namespace caraway::tests
