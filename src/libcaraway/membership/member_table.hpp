#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/member.hpp"
#include "libcaraway/membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace caraway::membership
{

/// Makes an update with the state of a member, for sending to peers.
member_update update_of(const member& known, bool with_details);

/// The known members, with the rule by which updates are merged.
class member_table
{
public:
    struct merged
    {
        /// Whether the update superseded the known state.
        bool is_applied = false;
        bool is_new_incarnation = false;
        /// None if the member was unknown.
        std::optional<member_state> former;
    };

    /// Merges by the order of member_update. An update with an unknown incarnation is ignored
    /// unless it includes the details. An unknown node that is dead or left is not added; otherwise
    /// peers would keep passing its record around for ever.
    merged merge(const member_update& update, base::time_point now);

    const std::map<base::node_id, member>& all() const
    {
        return members_;
    }
    const member* find(const base::node_id& id) const;
    /// For changes to the fields that are not merged: load and configuration.
    member* find(const base::node_id& id);
    /// Inserts a record or replaces the existing one with the same id.
    void insert(member added);

    /// Ids of the members that are neither dead nor left, without `except`.
    std::vector<base::node_id> live(const base::node_id& except) const;
    std::size_t live_count() const
    {
        return live_count_;
    }
    /// Digest of the members that are neither dead nor left.
    const view_digest& view() const
    {
        return view_;
    }
    /// Hash of the digest returned by view().
    std::uint32_t view_hash() const;
    /// The members with ids after `after` in the buckets where `peer_view` differs from view(),
    /// limited to `max_bytes` unless a single member exceeds that.
    sync_reply sync_page(const base::node_id& after, const view_digest& peer_view,
                         std::size_t max_bytes) const;
    /// Removes members that are dead or left and last changed before `cutoff`.
    void remove_expired(base::time_point cutoff);

private:
    /// Every change of a record is enclosed in a call of remove_from_view() before and of
    /// add_to_view() after the change, to keep the digest and the count up to date.
    void remove_from_view(const member& known);
    void add_to_view(const member& known);

    std::map<base::node_id, member> members_;
    std::size_t live_count_ = 0;
    view_digest view_{};
};

}  // namespace caraway::membership
