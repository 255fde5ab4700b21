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

/// What routers tell each other about who is alive. Everything here may be lost, repeated, late or
/// out of order: each value is state that is merged, never a step to be applied once.
namespace caraway::membership
{

/// An IP address as text and a port.
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

/// What a node says of itself. Within one life it only moves forward.
enum class announced_state : std::uint8_t
{
    joining,  ///< Up, but cold: gets no callers and owns nothing yet.
    alive,    ///< Ready.
    leaving,  ///< Shutting down gracefully: finishes what it has.
    left,     ///< Ended on purpose.
};

/// What others say of a node.
enum class verdict : std::uint8_t
{
    none,
    suspect,  ///< Did not answer, neither directly nor through others.
    dead,     ///< Did not refute the suspicion in time.
};

/// Where a node is and how it is reached; fixed for one life.
struct member_details
{
    endpoint peer{};    ///< Datagrams from other routers.
    endpoint caller{};  ///< Callers' HTTP.
    endpoint admin{};   ///< Operators and peers by RPC.
    base::zone_id zone{};
    base::region_id region{};

    friend bool operator==(const member_details&, const member_details&) = default;
};

/// The state of one node, ordered by (life, refutations, verdict): of two updates the greater one
/// holds, in whichever order they come.
struct member_update
{
    base::node_ref node{};
    /// Rises whenever the node announces a new state or refutes a verdict; set by the node alone.
    std::uint32_t refutations = 0;
    announced_state announced = announced_state::joining;
    verdict judged = verdict::none;
    /// Who suspects; empty unless suspect. Independent accusers shorten a suspicion.
    base::node_id accuser{};
    /// Left out where the receiver will mostly know it already.
    std::optional<member_details> details{};

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// Whether `a` replaces `b`, two updates of the same node.
bool supersedes(const member_update& a, const member_update& b);

/// How busy a node is. A hint that ages: used for placing, never for correctness.
struct load_digest
{
    std::uint32_t waiting = 0;      ///< Requests in its queues.
    std::uint32_t free_slots = 0;   ///< Unused slots of the upstreams that it owns.
    std::uint32_t connections = 0;  ///< Callers' open connections.

    friend bool operator==(const load_digest&, const load_digest&) = default;
};

/// Another node's load, passed on.
struct load_sample
{
    base::node_id node{};
    std::uint32_t age_ms = 0;
    load_digest load{};
    base::config_version configuration{};

    friend bool operator==(const load_sample&, const load_sample&) = default;
};

/// The newest accepted configuration that a node has heard of, and a node that holds it.
struct configuration_ref
{
    base::config_version version{};
    config::sha256_hex hash{};  ///< Empty exactly when the version is 0.
    base::node_id holder{};

    friend bool operator==(const configuration_ref&, const configuration_ref&) = default;
};

/// One element of an expiring_set on its way.
struct expiring_entry
{
    std::uint64_t fingerprint = 0;
    std::uint32_t count = 0;
    std::uint32_t ttl_ms = 0;  ///< Time left.

    friend bool operator==(const expiring_entry&, const expiring_entry&) = default;
};

/// "Are you there?" Answered by probe_ack with the same sequence.
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

/// "I did not get an answer either", from one who was asked by probe_request.
struct probe_nack
{
    std::uint32_t sequence = 0;

    friend bool operator==(const probe_nack&, const probe_nack&) = default;
};

/// "Probe this node for me": what comes of it comes back as probe_ack or probe_nack with this
/// sequence.
struct probe_request
{
    std::uint32_t sequence = 0;
    base::node_ref target{};
    endpoint address{};

    friend bool operator==(const probe_request&, const probe_request&) = default;
};

/// A node's list of members in brief: they fall into buckets by their ids, and two nodes that agree
/// on the states of all of a bucket have the same number there.
using view_digest = std::array<std::uint32_t, 64>;

/// Asks for the receiver's list of members, a page at a time. A joining node's first message.
struct sync_request
{
    /// Members after this one, in order of id; empty for the first page.
    base::node_id after{};
    /// The asker's own list; buckets that are the same need no answer.
    view_digest view{};

    friend bool operator==(const sync_request&, const sync_request&) = default;
};

/// The members of the buckets that differ; none at all if the lists are the same.
struct sync_reply
{
    std::vector<member_update> members{};
    /// Ask for the next page after this member; empty when this was the last.
    base::node_id next_after{};

    friend bool operator==(const sync_reply&, const sync_reply&) = default;
};

/// Rides along with every other message, and is sent by itself when there is news.
struct gossip
{
    load_digest load{};                    ///< The sender's own.
    base::config_version configuration{};  ///< In force at the sender.
    configuration_ref newest{};
    /// Of the sender's whole list of members: another number than ours calls for a sync_request.
    std::uint32_t view = 0;
    std::vector<member_update> updates{};
    std::vector<load_sample> samples{};
    std::vector<expiring_entry> entries{};

    friend bool operator==(const gossip&, const gossip&) = default;
};

using message =
    std::variant<probe, probe_ack, probe_nack, probe_request, sync_request, sync_reply, gossip>;

}  // namespace caraway::membership
