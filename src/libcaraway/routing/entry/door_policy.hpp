#pragma once

#include "libcaraway/routing/entry/overload_guard.hpp"
#include "libcaraway/routing/entry/work_budget.hpp"
#include "libcaraway/routing/entry/workspace_parts.hpp"

#include <cstdint>

namespace caraway::routing::entry
{

/// What becomes of a new connection while the processor is at its limit.
enum class door_verdict
{
    /// Its request is read.
    accepted,
    /// Its workspace was given more than its part of what the VM carries.
    refused_ahead,
    /// There is no room beside the workspaces within their parts.
    refused_full,
};

/// New connections turned away since the start, by what turned them away.
struct door_counts
{
    std::uint64_t refused_ahead = 0;
    std::uint64_t refused_full = 0;
    /// Their callers had closed them before they were read.
    std::uint64_t left = 0;
    /// Times that the listening socket was closed until the next tick, as the budget for refusals
    /// was spent. How many callers found it closed isn't known.
    std::uint64_t closed = 0;
};

/// Decides which new connections are read, and whether more are accepted, while the processor is at
/// its limit.
class door_policy
{
public:
    door_policy(overload_guard& guard, workspace_parts& parts) : guard_(guard), parts_(parts) {}

    /// Lets the budget follow the work admitted since the last call. Called each tick.
    void advance(base::duration elapsed);

    /// Whether connections are decided about one by one.
    bool is_narrow() const
    {
        return guard_.overloaded();
    }
    door_verdict decide(const base::workspace_id& id, std::size_t active_streams);
    /// A connection was accepted that tells nothing of its workspace yet.
    void record_undecided(std::size_t active_streams);
    void record_refusal()
    {
        budget_.record_refusal();
    }
    void record_left();
    /// Whether one more connection may be accepted in the current tick.
    bool accepts_more() const;
    void record_closed();

    const work_budget& budget() const
    {
        return budget_;
    }
    const door_counts& counts() const
    {
        return counts_;
    }

private:
    overload_guard& guard_;
    workspace_parts& parts_;
    work_budget budget_;
    door_counts counts_;
};

}  // namespace caraway::routing::entry
