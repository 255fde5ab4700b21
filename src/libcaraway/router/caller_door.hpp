#pragma once

#include "libcaraway/http/door.hpp"
#include "libcaraway/http/raw_head.hpp"
#include "libcaraway/router/core.hpp"
#include "libcaraway/routing/entry/door_policy.hpp"
#include "libcaraway/routing/entry/unseen_callers.hpp"

#include <optional>

namespace caraway::router
{

/// Decides which callers' new connections are read while the processor is at its limit: those of
/// workspaces within their part of what this VM carries, and of the others as many as there is room
/// for. The rest get an answer that costs little, as far as the budget for refusals goes.
class caller_door
{
public:
    explicit caller_door(core& shared);

    /// The functions for the listener of callers; valid as long as this object.
    http::door hooks();
    /// Lets the budget follow the work admitted since the last call, and counts the callers that
    /// found the listening socket closed. Called each tick.
    void advance(base::duration elapsed);

    /// For connections that are accepted without a decision. Returns whether more may be accepted.
    bool admits_more();

    const routing::entry::work_budget& budget() const
    {
        return policy_.budget();
    }
    const routing::entry::door_counts& counts() const
    {
        return policy_.counts();
    }

private:
    bool is_narrow() const;
    std::optional<std::string> refusal(std::string_view first_bytes);
    /// Whether a request with this key, and one of this workspace, is refused now.
    bool refuses(std::string_view key);
    bool refuses(const base::workspace_id& id);
    std::string refusal_text(const http::raw_head& head);

    void on_closed();
    /// Time since the last call, or since then, in which the listening socket is closed.
    base::duration take_closed_time();

    core& core_;
    routing::entry::door_policy policy_;
    routing::entry::unseen_callers unseen_;
    /// Since when the listening socket is closed, or was counted as closed.
    std::optional<base::time_point> closed_since_;
};

}  // namespace caraway::router
