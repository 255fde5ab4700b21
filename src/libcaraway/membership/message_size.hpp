#pragma once

#include "libcaraway/membership/messages.hpp"

#include <cstddef>

namespace caraway::membership
{

/// Upper bounds of what the wire format makes of a value, so that messages can be filled up to a
/// limit here without encoding them. tests/wire holds them against the real sizes.
std::size_t size_bound(const member_update& update);
std::size_t size_bound(const load_sample& sample);
/// A gossip with its lists empty.
std::size_t gossip_header_bound(const configuration_ref& newest);
std::size_t size_bound(const sync_reply& reply);
/// Any message but gossip.
std::size_t size_bound(const message& other);

}  // namespace caraway::membership
