#include "libcaraway/routing/shares/workspace_usage.hpp"

namespace caraway::routing::shares
{

workspace_usage& workspace_usage::operator+=(const workspace_usage& other)
{
    demanded += other.demanded;
    served += other.served;
    refused += other.refused;
    held_by_engines += other.held_by_engines;
    return *this;
}

}  // namespace caraway::routing::shares
