#pragma once

#include "libcaraway/attempts/crash_suspects.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/routing/engines/load_tracker.hpp"
#include "libcaraway/routing/engines/pace_record.hpp"
#include "libcaraway/routing/engines/prefill_pace.hpp"
#include "libcaraway/routing/parts/part_rate.hpp"
#include "libcaraway/routing/parts/part_suspects.hpp"
#include "libcaraway/routing/returns/refused_requests.hpp"
#include "libcaraway/routing/table_relay.hpp"
#include "libcaraway/routing/upstream_directory.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <string>
#include <string_view>

namespace caraway::routing
{

/// State that a router sends to all its peers several times a second. A digest holds state rather
/// than changes, so that lost and repeated digests do no harm.
struct digest
{
    base::node_id sender;
    /// Identifies one run of the sender's process; a later run has a larger value.
    std::uint64_t incarnation = 0;
    /// Increases with each digest of an incarnation.
    std::uint64_t sequence = 0;
    base::zone_id zone;
    /// Addresses for callers' connections, for peers' HTTP requests, and for digests.
    endpoint callers;
    endpoint control;
    endpoint datagrams;
    /// Whether the sender accepts new callers.
    bool ready = false;
    /// Processor time of the sender's VM, in cores.
    double capacity = 1;
    /// Requests that the sender received in the last second.
    double request_rate = 0;
    /// Version of the sender's configuration.
    base::config_version version{};
    /// How long the sender's copy of the platform's tables has been fresh without interruption;
    /// 0 if the copy is stale.
    std::chrono::milliseconds tables_fresh_for{};
    engines::upstream_loads loads;
    workspace_usages usages;
    /// Requests suspected of crashing upstreams.
    std::vector<attempts::suspect_entry> suspects;
    /// Requests that the sender rejected recently.
    std::vector<returns::request_fingerprint> refused;
    /// Prefill speeds of engines as measured by the sender; empty in most digests, as they change
    /// slowly.
    engines::prefill_records prefill_samples;
    /// Upstreams that the sender knows to accept no new requests. Part of each digest, as a busy
    /// router needs a second longer to request a full copy of the tables.
    std::vector<leaving_upstream> leaving;
    /// Latest update on each availability zone: whether the zone is drained.
    std::vector<zone_update> zones;
    /// State of the sender's copy of the platform's tables.
    table_state tables;
    /// Whether the sender keeps origins of other routers' streams.
    bool keeps_origins = false;
    /// Parts of prompts suspected of crashing upstreams.
    std::vector<parts::part_evidence> suspected_parts;
    /// The sender's processor is at its limit.
    bool processor_limited = false;
    /// Speed of upstreams as seen by the sender; empty in most digests, as it changes slowly.
    engines::pace_records paces;
    /// The shared parts of prompts that the sender's requests use most; empty in most digests.
    std::vector<parts::part_rate> part_rates;
};

/// What tells whether a digest is newer than another one.
struct digest_identity
{
    base::node_id sender;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

/// Encodes the digest as CBOR (RFC 8949).
std::string encode(const digest& message);
/// Errors: `corrupt` if the bytes are anything but one complete digest of the current format.
base::result<digest> decode(std::string_view bytes);
/// Decodes only the first fields. Errors: `corrupt` if the bytes don't begin like a digest of the
/// current format.
base::result<digest_identity> decode_identity(std::string_view bytes);

}  // namespace caraway::routing
