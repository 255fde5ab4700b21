#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/config/configuration.hpp"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Membership messages between routers. Any message may be lost, repeated, delayed or reordered;
/// therefore every value is state to be merged, never an operation to be applied once.
namespace caraway::membership
{

/// An IP address in text form and a port.
struct endpoint
{
    std::string host{};
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend std::strong_ordering operator<=>(const endpoint& a, const endpoint& b)
    {
        const auto by_host = a.host.compare(b.host) <=> 0;  // NOLINT(modernize-use-nullptr)
        return by_host != 0 ? by_host : a.port <=> b.port;  // NOLINT(modernize-use-nullptr)
    }
};

/// The state that a node announces of itself. Within one incarnation the state only advances.
enum class announced_state : std::uint8_t
{
    joining,  ///< Starting: receives no callers and owns nothing yet.
    alive,    ///< Ready.
    leaving,  ///< Shutting down gracefully: completes requests in flight.
    left,     ///< Shut down on purpose.
};

/// The judgement of other nodes about a node.
enum class verdict : std::uint8_t
{
    none,
    suspect,  ///< Answered neither direct nor indirect probes.
    dead,     ///< Did not refute the suspicion before its timeout.
};

/// Location and addresses of a node; fixed for one incarnation.
struct member_details
{
    endpoint peer{};    ///< Receives datagrams from other routers.
    endpoint caller{};  ///< Receives HTTP requests of callers.
    endpoint admin{};   ///< Receives RPCs of operators and peers.
    base::zone_id zone{};
    base::region_id region{};

    friend bool operator==(const member_details&, const member_details&) = default;
};

/// The state of one node, ordered by (incarnation, refutations, verdict): of two updates the
/// greater one wins, whatever the order of arrival.
struct member_update
{
    base::node_ref node{};
    /// Incremented by the node alone, whenever the node announces a new state or refutes a verdict.
    std::uint32_t refutations = 0;
    announced_state announced = announced_state::joining;
    verdict judged = verdict::none;
    /// The node that raised the suspicion; empty unless suspect. Independent accusers shorten the
    /// suspicion timeout.
    base::node_id accuser{};
    /// Omitted where most receivers already know the details.
    std::optional<member_details> details{};

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// Whether `a` supersedes `b`; both must be updates of the same node.
bool supersedes(const member_update& a, const member_update& b);

/// A node's load. It may be stale: placement uses it, correctness never depends on it.
struct load_digest
{
    std::uint32_t waiting = 0;      ///< Requests waiting in its queues.
    std::uint32_t free_slots = 0;   ///< Unused slots of the upstreams that it owns.
    std::uint32_t connections = 0;  ///< Open connections of callers.

    friend bool operator==(const load_digest&, const load_digest&) = default;
};

/// The load of a third node, forwarded by the sender.
struct load_sample
{
    base::node_id node{};
    std::uint32_t age_ms = 0;
    load_digest load{};
    base::config_version configuration{};

    friend bool operator==(const load_sample&, const load_sample&) = default;
};

/// The newest accepted configuration that a node knows of, and a node that has this configuration.
struct configuration_ref
{
    base::config_version version{};
    config::sha256_hex hash{};  ///< Empty exactly when the version is 0.
    base::node_id holder{};

    friend bool operator==(const configuration_ref&, const configuration_ref&) = default;
};

/// One entry of an expiring_set in a message.
struct expiring_entry
{
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 0;
    std::uint32_t ttl_ms = 0;  ///< Remaining time to live, in milliseconds.

    friend bool operator==(const expiring_entry&, const expiring_entry&) = default;
};

/// Liveness probe. Answered by a probe_ack with the same sequence.
struct probe
{
    std::uint32_t sequence = 0;

    friend bool operator==(const probe&, const probe&) = default;
};

struct probe_ack
{
    std::uint32_t sequence = 0;

    friend bool operator==(const probe_ack&, const probe_ack&) = default;
};

/// Negative answer to a probe_request: the target did not answer the relay either.
struct probe_nack
{
    std::uint32_t sequence = 0;

    friend bool operator==(const probe_nack&, const probe_nack&) = default;
};

/// Asks the receiver to probe `target` on behalf of the sender. The receiver reports the result as
/// a probe_ack or probe_nack with the sequence of this request.
struct probe_request
{
    std::uint32_t sequence = 0;
    base::node_ref target{};
    endpoint address{};

    friend bool operator==(const probe_request&, const probe_request&) = default;
};

/// Compact digest of a node's member list. Members are assigned to buckets by a hash of their ids;
/// two nodes that agree on the states of all members of a bucket have the same value for the
/// bucket.
using view_digest = std::array<std::uint32_t, 64>;

/// Requests the receiver's member list, one page at a time. First message of a joining node.
struct sync_request
{
    /// Requests members with ids after this one; empty for the first page.
    base::node_id after{};
    /// Digest of the requester's own list; buckets with the same value are omitted from the reply.
    view_digest view{};

    friend bool operator==(const sync_request&, const sync_request&) = default;
};

/// The members of the buckets that differ; empty if the lists are the same.
struct sync_reply
{
    std::vector<member_update> members{};
    /// The next page starts after this member; empty on the last page.
    base::node_id next_after{};

    friend bool operator==(const sync_reply&, const sync_reply&) = default;
};

/// Sent along with every message other than sync_reply, and by itself when there are updates to
/// push.
struct gossip
{
    load_digest load{};                    ///< The sender's own.
    base::config_version configuration{};  ///< In force at the sender.
    configuration_ref newest{};
    /// Hash of the sender's member list; if it differs from the receiver's, the lists have to be
    /// synchronized by a sync_request.
    std::uint32_t view = 0;
    std::vector<member_update> updates{};
    std::vector<load_sample> samples{};
    std::vector<expiring_entry> entries{};

    friend bool operator==(const gossip&, const gossip&) = default;
};

using message =
    std::variant<probe, probe_ack, probe_nack, probe_request, sync_request, sync_reply, gossip>;

}  // namespace caraway::membership
