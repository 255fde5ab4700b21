#include "libcaraway/routing/shares/workspace_usage.hpp"

namespace caraway::routing::shares
{

workspace_usage& workspace_usage::operator+=(const workspace_usage& other)
{
    demanded += other.demanded;
    served += other.served;
    serving_rate += other.serving_rate;
    refused += other.refused;
    held_by_engines += other.held_by_engines;
    held_by_processor += other.held_by_processor;
    return *this;
}

}  // namespace caraway::routing::shares
