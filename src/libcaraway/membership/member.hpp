#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/messages.hpp"

#include <optional>

namespace caraway::membership
{

/// The state of a member as one node sees it: the state that the member announced, unless other
/// nodes suspect it or declared it dead.
enum class member_state
{
    joining,
    alive,
    leaving,
    suspect,
    dead,
    left,
};

/// The name of a state in logs and the state dump, such as "leaving".
const char* name(member_state state);

/// All that this node knows of one member; also used for this node itself.
struct member
{
    base::node_ref node{};
    std::uint32_t refutations = 0;
    announced_state announced = announced_state::joining;
    verdict judged = verdict::none;
    member_details details{};

    /// Last known version in force on the member; the hash is empty while unknown.
    base::config_version configuration{};
    config::sha256_hex configuration_hash{};

    load_digest load{};
    /// When `load` was measured; none until a load has been received. The reader decides from which
    /// age on a load is stale.
    std::optional<base::time_point> load_measured_at{};
    /// When this node last changed `announced` or `judged`.
    base::time_point changed_at{};

    member_state state() const;
    /// Whether the member takes part in traffic and ownership. A suspect does, since most
    /// suspicions are refuted.
    bool takes_part() const
    {
        return announced == announced_state::alive && judged != verdict::dead;
    }
};

}  // namespace caraway::membership
