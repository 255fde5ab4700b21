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
    /// How long a caller may use the list before it has to request a new one, in seconds.
    std::chrono::seconds lifetime{30};
    /// A load older than this counts as unknown, which ranks as the average.
    base::duration max_load_age = std::chrono::seconds(15);
    /// Returns 64 random bits.
    random_source random{};
};

/// One router address for a caller.
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

/// Chooses the router addresses for a caller near `zone`: only alive nodes; the same zone first,
/// then the same region; lower load first; ties in random order. The last entry is in another zone
/// if there is one, so that a caller still has a usable address after the loss of a zone.
entry_list choose_entries(const entry_list_options& options,
                          const std::map<base::node_id, member>& members, const base::zone_id& zone,
                          const base::region_id& region, base::time_point now);

}  // namespace caraway::membership
