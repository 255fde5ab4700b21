#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace caraway::membership
{

/// Identifies a suspicion: it applies only to this incarnation and number of refutations of the
/// node.
struct suspicion_key
{
    base::node_ref node{};
    std::uint32_t refutations = 0;

    friend bool operator==(const suspicion_key&, const suspicion_key&) = default;
};

/// Deadlines by which suspects have to refute.
///
/// A single accuser may itself be the node that is partitioned, so a suspicion starts with the
/// maximum timeout. Each further accuser shortens the timeout, down to the minimum at
/// `timeouts::confirmations` further accusers.
class suspicion_timers
{
public:
    struct timeouts
    {
        base::duration minimum{};
        base::duration maximum{};
        /// Number of accusers, besides the first one, that reduce the timeout to the minimum.
        std::size_t confirmations = 2;
    };

    /// Starts a timer, or adds an accuser to a running one. True if the accuser was new.
    bool record_accuser(const suspicion_key& key, const base::node_id& accuser,
                        const timeouts& limits, base::time_point now);
    void clear(const base::node_id& id);
    /// Removes and returns the suspicions whose deadline has passed.
    std::vector<suspicion_key> take_expired(base::time_point now);
    std::optional<base::time_point> next_deadline() const;
    /// Extends all deadlines after this process was stalled for `delay`.
    void postpone(base::duration delay);

private:
    struct timer
    {
        suspicion_key key{};
        base::time_point started{};
        base::time_point deadline{};
        std::set<base::node_id> accusers{};
    };

    std::map<base::node_id, timer> timers_;
};

}  // namespace caraway::membership
