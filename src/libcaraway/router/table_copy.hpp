#pragma once

#include "libcaraway/router/ports.hpp"
#include "libcaraway/routing/peer_table.hpp"

#include <optional>

namespace caraway::router
{

/// A state of a router's tables, by which it tells later what has changed since.
struct copy_position
{
    /// Of the router's process.
    std::uint64_t incarnation = 0;
    /// Changes of its upstreams until then.
    std::uint64_t changes = 0;

    friend bool operator==(const copy_position&, const copy_position&) = default;
};

/// What a router hands to a peer that doesn't ask the platform's store: the rows as they stand
/// there, so that the peer decodes them by itself.
struct table_copy
{
    base::node_id sender;
    copy_position position;
    std::string configuration;
    base::config_version version{};
    /// Only what changed since the position that the peer told; removed rows among them.
    bool partial = false;
    std::vector<row> upstreams;
    /// What `upstreams` is a copy of.
    routing::table_state state;
    /// What was said last of availability zones.
    std::vector<routing::zone_statement> zones;
    /// The sender and the routers that it knows, names and addresses only; a partial copy has them
    /// if asked.
    std::vector<routing::peer> routers;
};

std::string encode(const table_copy& copy);
base::result<table_copy> decode_copy(const std::string& text);

}  // namespace caraway::router
