#include "vm_limits.hpp"

#include <algorithm>

namespace caraway::tests
{

namespace
{

bool take_one(double& stock)
{
    if (stock < 1)
    {
        return false;
    }
    stock -= 1;
    return true;
}

}  // namespace

vm_limits::vm_limits(double processor_limit, double door_limit)
    : processor_limit_(processor_limit), door_limit_(door_limit)
{
}

void vm_limits::advance(std::chrono::milliseconds elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    processor_stock_ = std::min(processor_stock_ + processor_limit_ * seconds, processor_limit_);
    door_stock_ = std::min(door_stock_ + door_limit_ * seconds, std::max(1.0, door_limit_ / 10));
}

bool vm_limits::reads_one()
{
    return take_one(door_stock_);
}

bool vm_limits::has_time_for_one()
{
    return take_one(processor_stock_);
}

}  // namespace caraway::tests
