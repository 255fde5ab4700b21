#pragma once

#include "libcaraway/membership/messages.hpp"

#include <cstddef>

namespace caraway::membership
{

/// Upper bounds of encoded sizes in bytes, used to fill messages up to a limit without encoding
/// them. tests/wire checks these bounds against the encoded sizes.
std::size_t size_bound(const member_update& update);
std::size_t size_bound(const load_sample& sample);
/// A gossip message with empty lists.
std::size_t gossip_header_bound(const configuration_ref& newest);
std::size_t size_bound(const sync_reply& reply);
/// Any message other than gossip.
std::size_t size_bound(const message& value);

}  // namespace caraway::membership
