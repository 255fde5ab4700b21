#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/membership/messages.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <QByteArray>

#include <cstddef>
#include <variant>
#include <vector>

/// CBOR encoding of the messages between routers, based on Qt's stream reader and writer.
namespace caraway::wire
{

using message = std::variant<membership::message, scheduling::router_report, scheduling::grant_list,
                             scheduling::totals_report, scheduling::totals_reply>;

/// Content of one datagram: messages from one incarnation of a node to a given or any incarnation
/// of another node.
struct envelope
{
    base::node_ref from{};
    /// An empty id matches any receiver; incarnation 0 matches any incarnation.
    base::node_ref to{};
    std::vector<message> messages{};

    friend bool operator==(const envelope&, const envelope&) = default;
};

/// Whether a datagram for `to` is addressed to `self`, including its incarnation.
bool is_addressed_to(const base::node_ref& to, const base::node_ref& self);

/// Upper bound on the size of a datagram; decode() rejects larger ones.
inline constexpr std::size_t max_datagram_bytes = std::size_t{32} * 1024;

QByteArray encode(const envelope& value);

/// Decodes untrusted bytes; returns errc::corrupt if the bytes are not a valid envelope. Messages
/// of unknown kind and fields appended by a newer version are ignored.
base::result<envelope> decode(const QByteArray& bytes);

/// Splits the envelope into datagrams of at most `target_bytes` bytes each and keeps the order of
/// the messages. A message that alone exceeds the limit is sent in a datagram of its own, since its
/// state must be received as a whole.
std::vector<QByteArray> pack(const envelope& value, std::size_t target_bytes);

}  // namespace caraway::wire
