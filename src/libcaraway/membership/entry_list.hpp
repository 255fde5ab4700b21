#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/member.hpp"
#include "libcaraway/membership/probe_order.hpp"

#include <chrono>
#include <map>
#include <vector>

namespace caraway::membership
{

struct entry_list_options
{
    std::size_t count = 3;
    /// How long a caller may use the answer without asking again.
    std::chrono::seconds lifetime{30};
    /// Older load counts as unknown, which ranks as average.
    base::duration max_load_age = std::chrono::seconds(15);
    /// Any 64 random bits.
    random_source random{};
};

/// One address for a caller.
struct entry_address
{
    base::node_id node{};
    endpoint address{};
    base::zone_id zone{};
};

struct entry_list
{
    /// Best first.
    std::vector<entry_address> addresses{};
    std::chrono::seconds lifetime{0};
};

/// Which of our addresses a caller near `zone` should use: ready nodes only, near zone first, less
/// loaded first, equals in random order. The last place goes to another zone if there is one, so
/// that the loss of a zone does not strand the caller.
entry_list choose_entries(const entry_list_options& options,
                          const std::map<base::node_id, member>& members, const base::zone_id& zone,
                          const base::region_id& region, base::time_point now);

}  // namespace caraway::membership
