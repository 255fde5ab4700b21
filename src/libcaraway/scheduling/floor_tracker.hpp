#pragma once

#include "libcaraway/scheduling/messages.hpp"

#include <map>
#include <vector>

namespace caraway::scheduling
{

/// How far each service's virtual time has come, as the largest that anyone has told: the least
/// virtual time among the backlogged, at the grant where it was highest. An account that was idle
/// starts there, whether or not others are backlogged at the moment.
class floor_tracker
{
public:
    void raise(const base::service_id& service, base::virtual_time floor);
    void merge(const std::vector<service_floor>& floors);

    base::virtual_time at(const base::service_id& service) const;
    std::vector<service_floor> all() const;

private:
    std::map<base::service_id, base::virtual_time> floors_;
};

}  // namespace caraway::scheduling
