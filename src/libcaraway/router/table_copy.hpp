#pragma once

#include "libcaraway/router/ports.hpp"
#include "libcaraway/routing/peer_table.hpp"
#include "libcaraway/routing/served_versions.hpp"

#include <optional>

namespace caraway::router
{

/// Identifies a state of a router's tables, so that the router can list the changes since then.
struct copy_position
{
    /// Incarnation of the router's process.
    std::uint64_t incarnation = 0;
    /// Number of changes to its upstreams up to this state.
    std::uint64_t changes = 0;

    friend bool operator==(const copy_position&, const copy_position&) = default;
};

/// Copy of the platform's tables that a router sends to a peer that does not read them from the
/// store. It contains the rows as stored; the peer decodes them itself.
struct table_copy
{
    base::node_id sender;
    copy_position position;
    /// Text of the configuration; empty if the peer has this version already.
    std::string configuration;
    base::config_version version{};
    /// Whether `upstreams` holds only the changes since the position given by the peer, removed
    /// rows included.
    bool partial = false;
    std::vector<row> upstreams;
    /// State of the sender's tables that `upstreams` was copied from.
    routing::table_state state;
    /// What has served by the sender's tables, as of that state; of routers that don't tell,
    /// nothing.
    routing::version_history versions;
    /// Latest update on each availability zone: whether the zone is drained.
    std::vector<routing::zone_update> zones;
    /// The sender and the routers known to it, with names and addresses only. A partial copy holds
    /// them only if requested.
    std::vector<routing::peer> routers;
};

/// Encodes the copy as JSON; invalid UTF-8 is replaced.
std::string encode(const table_copy& copy);
/// Errors: `corrupt` if the text is not a complete copy.
base::result<table_copy> decode_copy(const std::string& text);

}  // namespace caraway::router
