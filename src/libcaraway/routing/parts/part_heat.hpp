#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/parts/part_rate.hpp"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace caraway::routing::parts
{

struct part_heat_options
{
    /// Time after which a use counts half.
    std::chrono::milliseconds half_life{2000};
    /// Parts that are counted; of more, those used least are dropped.
    std::size_t capacity = 512;
    /// Uses within the counted time from which a part is sent to peers: one use says nothing of a
    /// rate.
    double min_sent_uses = 2;
    /// Parts in one digest, of some 15 bytes each.
    std::size_t max_sent = 8;
    /// Parts accepted from one digest; those with the highest rates are kept.
    std::size_t max_received = 16;
    /// Highest rate accepted from one router, in requests per second.
    double max_rate = 1000;
    /// How long a peer's rates are used. Peers send theirs about once a second.
    std::chrono::milliseconds peer_lifetime{2500};
    /// How old the sum of the peers' rates may be.
    std::chrono::milliseconds max_sum_age{200};
};

/// Counts how often the shared parts of prompts are used: exactly for this router's requests, and
/// as reported for those of its peers.
///
/// Counts of own uses decay exponentially. Parts beyond the capacity are taken from the workspace
/// that has the most of them, those used least first, so that no workspace displaces the parts of
/// one with fewer.
class part_heat
{
public:
    explicit part_heat(const part_heat_options& options = {});

    /// Records a request of the workspace with these shared parts; see prefix_hashes.
    void record_use(const std::vector<std::uint64_t>& prefixes, const base::workspace_id& workspace,
                    base::time_point now);

    /// Requests per second of all routers that use the part, as far as they are known.
    double rate(std::uint64_t prefix, base::time_point now);
    /// The same of this router alone.
    double own_rate(std::uint64_t prefix, base::time_point now) const;

    /// The parts that this router's requests use most, for its digest; those used seldom are left
    /// out.
    std::vector<part_rate> hottest(base::time_point now) const;
    /// Replaces a peer's rates. Rates that aren't positive numbers are ignored.
    void set_peer(const base::node_id& peer, const std::vector<part_rate>& rates,
                  base::time_point now);
    /// Drops what has expired; called about once a second.
    void expire(base::time_point now);

    /// Number of parts counted.
    std::size_t size() const
    {
        return own_.size();
    }

private:
    struct use_count
    {
        double uses = 0;
        base::time_point updated{};
        std::uint64_t workspace = 0;
    };
    struct peer_rates
    {
        std::vector<part_rate> rates;
        base::time_point received{};
    };

    double decayed(const use_count& count, base::time_point now) const;
    double rate_of(double uses) const;
    void add(std::uint64_t prefix, std::uint64_t workspace, base::time_point now);
    void drop_least_used(base::time_point now);
    void sum_peers(base::time_point now);

    part_heat_options options_;
    std::unordered_map<std::uint64_t, use_count> own_;
    std::unordered_map<base::node_id, peer_rates> peers_;
    /// Sum of the peers' rates by part.
    std::unordered_map<std::uint64_t, double> peer_sums_;
    bool sums_outdated_ = false;
    base::time_point summed_{};
};

}  // namespace caraway::routing::parts
