#include "libcaraway/routing/entry/door_policy.hpp"

namespace caraway::routing::entry
{

void door_policy::advance(base::duration elapsed)
{
    budget_.advance(elapsed, parts_.take_admitted());
}

door_verdict door_policy::decide(const base::workspace_id& id, std::size_t active_streams)
{
    const auto standing = parts_.standing(id);
    if (standing == part_standing::within || guard_.has_room(active_streams, standing))
    {
        return door_verdict::accepted;
    }
    guard_.record_turned_away(active_streams, standing);
    if (standing == part_standing::ahead)
    {
        ++counts_.refused_ahead;
        return door_verdict::refused_ahead;
    }
    ++counts_.refused_full;
    return door_verdict::refused_full;
}

void door_policy::record_undecided(std::size_t active_streams)
{
    guard_.record_connection(active_streams);
}

void door_policy::record_left()
{
    ++counts_.left;
    budget_.record_refusal();
}

void door_policy::record_closed()
{
    ++counts_.closed;
    guard_.record_turned_away();
}

bool door_policy::accepts_more() const
{
    return budget_.may_refuse() || guard_.is_below_min_connections();
}

}  // namespace caraway::routing::entry
