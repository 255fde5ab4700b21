#pragma once

#include "libcaraway/attempts/crash_suspects.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/routing/load_board.hpp"
#include "libcaraway/routing/reading_pace.hpp"
#include "libcaraway/routing/refused_requests.hpp"
#include "libcaraway/routing/table_relay.hpp"
#include "libcaraway/routing/upstream_directory.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <string>
#include <string_view>

namespace caraway::routing
{

/// What one router tells all others many times a second; state, so that a lost or repeated one
/// changes nothing.
struct digest
{
    base::node_id sender;
    /// Drawn at the start of the process; larger is later.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    base::zone_id zone;
    /// Where callers connect, where peers ask, where digests go.
    endpoint callers;
    endpoint control;
    endpoint datagrams;
    /// Takes new callers.
    bool ready = false;
    /// Processor time that its VM has, in cores.
    double capacity = 1;
    /// Requests that it got in the last second.
    double request_rate = 0;
    base::config_version version{};
    /// How long the sender's copy of the platform's tables has been fresh without a break;
    /// 0: it isn't.
    std::chrono::milliseconds tables_fresh_for{};
    upstream_loads loads;
    workspace_usages usages;
    /// Requests that upstreams crashed under.
    std::vector<attempts::suspect_entry> suspects;
    /// Requests that the sender refused just now.
    std::vector<request_mark> refused;
    /// What the sender saw of the engines' reading; empty in most digests, as it changes slowly.
    reading_records prefill_records;
    /// Upstreams that take no new requests, as the sender knows: told with each digest, as a busy
    /// router takes a second longer to ask for a whole copy.
    std::vector<leaving_upstream> leaving;
    /// What was said last of availability zones.
    std::vector<zone_statement> zones;
    /// The sender's copy of the platform's tables.
    table_state tables;
};

/// CBOR (RFC 8949), by library.
std::string encode(const digest& what);
/// Anything that isn't a digest, whole, is an error.
base::result<digest> decode(std::string_view bytes);

}  // namespace caraway::routing
