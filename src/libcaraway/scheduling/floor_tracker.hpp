#pragma once

#include "libcaraway/scheduling/messages.hpp"

#include <map>
#include <vector>

namespace caraway::scheduling
{

/// Virtual-time floor of each service: the minimum virtual time of the backlogged accounts at a
/// grant, as the maximum over all grants that any node has reported. An account that was idle
/// starts at the floor, even if no other account is backlogged at that moment.
class floor_tracker
{
public:
    /// Has no effect if the value is lower than the present floor, or not finite.
    void raise(const base::service_id& service, base::virtual_time floor);
    void merge(const std::vector<service_floor>& floors);

    /// Zero for a service without a floor.
    base::virtual_time at(const base::service_id& service) const;
    std::vector<service_floor> all() const;

private:
    std::map<base::service_id, base::virtual_time> floors_;
};

}  // namespace caraway::scheduling
