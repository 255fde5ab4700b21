#pragma once

#include "libcaraway/http/door.hpp"
#include "libcaraway/http/raw_head.hpp"
#include "libcaraway/router/core.hpp"
#include "libcaraway/routing/entry/work_budget.hpp"

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
    /// Lets the budget follow the work admitted since the last call. Called each tick.
    void advance(base::duration elapsed);

    /// For connections that are accepted without a decision. Returns whether more may be accepted.
    bool admits_more();

    const routing::entry::work_budget& budget() const
    {
        return budget_;
    }
    /// Requests refused at the door because their workspaces were given more than their part, and
    /// because there was no room beside those within theirs. Totals.
    std::uint64_t refused_ahead() const
    {
        return refused_ahead_;
    }
    std::uint64_t refused_full() const
    {
        return refused_full_;
    }

private:
    bool is_narrow() const;
    bool accepts_more() const;
    std::optional<std::string> refusal(std::string_view first_bytes);
    /// Whether a request with this key, and one of this workspace, is refused now.
    bool refuses(std::string_view key);
    bool refuses(const base::workspace_id& id);
    std::string refusal_text(const http::raw_head& head);
    void on_accepted(bool refused);

    core& core_;
    routing::entry::work_budget budget_;
    std::uint64_t refused_ahead_ = 0;
    std::uint64_t refused_full_ = 0;
};

}  // namespace caraway::router
