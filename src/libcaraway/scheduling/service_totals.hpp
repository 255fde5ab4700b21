#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <map>
#include <optional>
#include <vector>

namespace caraway::scheduling
{

/// Service rendered to one account: this node's own total, and the other nodes' as last received.
struct account_totals
{
    std::uint32_t epoch = 0;
    base::cost lift;
    /// Rendered through this node in this epoch. Decreases when an estimate turns out too high,
    /// also below 0 if that estimate was charged in an earlier epoch.
    base::cost own;
    /// `own` as last sent to an aggregator.
    base::cost reported;
    base::cost others;
    /// Rate at which `others` increases, per second.
    base::cost others_rate;
    std::optional<base::time_point> updated_at;
    /// Incremented with each change of epoch, lift or `own`.
    std::uint64_t version = 0;
    /// The version last sent to each aggregator.
    std::map<base::node_ref, std::uint64_t> sent_versions;
    /// Number of periodic repetitions still to be sent, in case a report was lost.
    std::uint32_t refreshes_left = 0;
};

/// This node's view of the service that each account has received.
class service_totals
{
public:
    /// Adds to the service that this node has rendered; a negative `delta` refunds.
    void charge(const account& key, base::cost delta);
    /// Merges an aggregator's sum. Returns true if it started a new epoch for this node.
    bool merge(const service_sum& sum, base::time_point now);

    /// Whether the current total has not been sent to `aggregator` yet.
    bool changed_for(const account& key, const base::node_ref& aggregator) const;
    /// Returns the current own total and records it as sent to `aggregator`.
    service_total report(const account& key, const base::node_ref& aggregator);
    /// Marks all recently changed totals to be sent again, in case a report was lost.
    void refresh();
    bool needs_refresh() const;

    /// Service rendered by the whole fleet up to now, including the lift. The other nodes' part is
    /// extrapolated at its recent rate: sums of different aggregators arrive at different times,
    /// and without extrapolation the account with the newest sum would seem to have received the
    /// most.
    base::cost rendered(const account& key, base::time_point now) const;
    /// Null if the account is unknown.
    const account_totals* find(const account& key) const;
    const std::map<account, account_totals>& all() const;

private:
    std::map<account, account_totals> accounts_;
};

}  // namespace caraway::scheduling
