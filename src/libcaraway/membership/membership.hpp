#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/byte_budget.hpp"
#include "libcaraway/membership/configuration_watch.hpp"
#include "libcaraway/membership/expiring_set.hpp"
#include "libcaraway/membership/member.hpp"
#include "libcaraway/membership/member_table.hpp"
#include "libcaraway/membership/messages.hpp"
#include "libcaraway/membership/probe_order.hpp"
#include "libcaraway/membership/probe_tracker.hpp"
#include "libcaraway/membership/suspicion_timers.hpp"
#include "libcaraway/membership/sync_session.hpp"
#include "libcaraway/membership/update_queue.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace caraway::membership
{

/// Requests that these messages are sent to one peer, in one datagram if they fit. An empty id in
/// `to` addresses any node at the address: a seed whose id is not known yet.
struct send
{
    endpoint address;
    base::node_ref to;
    std::vector<message> messages;
};

/// A node's incarnation, announced state or verdict changed, or the node was discovered.
struct member_changed
{
    member current;
    /// None if the node was unknown.
    std::optional<member_state> former;
};

/// Some node has a configuration newer than the one in force here. Repeated at intervals until
/// set_own_configuration() catches up, so that the receiver does not have to track failed fetches.
struct newer_configuration_seen
{
    base::node_id holder;
    base::config_version version{};
    config::sha256_hex hash;
};

/// The fleet knows a later incarnation of this node's own id: the clock was set back, or two
/// processes use the same id. While joining, the process should restart with an incarnation above
/// this one; after that, it is a duplicate.
struct newer_incarnation_seen
{
    base::incarnation incarnation{};
};

using action = std::variant<send, member_changed, newer_configuration_seen, newer_incarnation_seen>;

/// Timeouts and limits. With the defaults a failure in a fleet of eight nodes is detected in about
/// two seconds.
struct membership_options
{
    /// Addresses for joining the fleet and for finding unreachable nodes again; see set_seeds().
    std::vector<endpoint> seeds;
    /// Returns 64 random bits.
    random_source random;

    /// One member is probed in each such period.
    base::duration probe_period = std::chrono::milliseconds(500);
    /// Probe period while there are at most `small_fleet_size` members: with fewer nodes probing,
    /// each has to probe more often.
    base::duration short_probe_period = std::chrono::milliseconds(250);
    std::size_t small_fleet_size = 40;
    /// After this time without an answer, other nodes are asked to probe the member.
    base::duration direct_timeout = std::chrono::milliseconds(150);
    /// After this time without a direct or indirect answer, the member is suspected.
    base::duration probe_timeout = std::chrono::milliseconds(400);
    std::size_t indirect_probes = 3;

    /// Minimum suspicion timeout: a suspect confirmed by other nodes is declared dead after this
    /// time, a suspect with a single accuser after three times as long; both grow with the
    /// logarithm of the fleet's size.
    base::duration suspicion_timeout = std::chrono::milliseconds(800);
    /// Multiplied by log2 of the fleet's size: the number of messages that include an update. A
    /// suspicion is included in half as many.
    std::size_t retransmit_factor = 2;
    /// Updates are pushed to this many members, at most once per `push_interval`.
    std::size_t push_fanout = 2;
    base::duration push_interval = std::chrono::milliseconds(200);

    /// One address of a dead or unknown node is contacted per interval.
    base::duration rejoin_interval = std::chrono::seconds(2);
    /// The member list is compared with that of one member per interval.
    base::duration sync_interval = std::chrono::seconds(15);
    /// Interval of comparison while the lists of peers differ. Updates that are still spreading
    /// make lists differ, too.
    base::duration mismatch_sync_interval = std::chrono::seconds(2);
    /// How long dead nodes are remembered and contacted.
    base::duration dead_retention = std::chrono::hours(1);

    /// Upper bound of the estimated size of all messages of one `send`, in bytes.
    std::size_t max_bytes = 1100;
    /// Average rate and burst of the bytes sent for updates; member lists have a second budget of
    /// the same size. With one shared budget, a flood of updates would leave nothing for the lists
    /// that end the flood. The loss of a region produces more updates than the budget allows;
    /// spreading these takes longer.
    std::size_t bytes_per_s = 2000;
    std::size_t burst_bytes = 40000;
    std::size_t max_samples = 4;
    std::size_t max_entry_bytes = 120;
    expiring_set_options entries;
};

/// Tracks the members of the fleet: a SWIM-like failure detector with gossip, as a state machine
/// without I/O.
///
/// Every node probes one member per period, directly and then through other nodes, so that a node's
/// traffic does not grow with the fleet. There is no consensus: two nodes may disagree for seconds,
/// and only performance may depend on the result. Actions accumulate until take_actions() is
/// called.
class membership
{
public:
    using options = membership_options;

    /// `self` is this process's id and incarnation; the node starts as joining. Randomness is taken
    /// from the options.
    membership(options options, base::node_ref self, member_details details, base::time_point now);

    /// Handles one message of an authenticated envelope from `sender`, received from the address
    /// `source`.
    void receive(const endpoint& source, const base::node_ref& sender, const message& received,
                 base::time_point now);
    /// Performs all actions that are due. Call at next_wakeup() or more often.
    void tick(base::time_point now);
    base::time_point next_wakeup() const;
    std::vector<action> take_actions();

    /// Ends the joining state: the node may receive callers and own upstreams.
    void set_ready(base::time_point now);
    /// Starts the graceful shutdown: announced at once, irreversible.
    void set_leaving(base::time_point now);
    /// Announces that the process ends, so that peers remove it from the fleet without a suspicion.
    void set_left(base::time_point now);
    void set_own_load(const load_digest& load, base::time_point now);
    /// Records the configuration in force on this node. An older version than the current one is
    /// ignored.
    void set_own_configuration(base::config_version version, const config::sha256_hex& hash,
                               base::time_point now);
    /// Replaces the seeds, for example after the VM list changed.
    void set_seeds(std::vector<endpoint> seeds);

    /// Increments the count of a fingerprint in the fleet's expiring set, and pushes the change at
    /// once.
    std::uint32_t increment(std::uint64_t fingerprint, std::chrono::milliseconds ttl,
                            base::time_point now);
    const expiring_set& entries() const
    {
        return entries_;
    }

    const base::node_ref& self() const
    {
        return self_;
    }
    /// All known nodes, including this one, and dead ones for as long as they are remembered.
    const std::map<base::node_id, member>& members() const
    {
        return table_.all();
    }
    /// The members for which member::takes_part() is true, in order of id, including this node if
    /// it is ready.
    std::vector<member> alive() const;
    /// The node with this id, or null.
    const member* find(const base::node_id& id) const
    {
        return table_.find(id);
    }

private:
    void handle(const endpoint& source, const base::node_ref& sender, const probe& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& sender, const probe_ack& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& sender, const probe_nack& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& sender, const probe_request& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& sender, const sync_request& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& sender, const sync_reply& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& sender, const gossip& received,
                base::time_point now);

    void receive_update(member_update update, bool is_sync, base::time_point now);
    void record_status(const base::node_ref& sender, const gossip& received, base::time_point now);
    void record_sample(const load_sample& sample, base::time_point now);
    void apply(const member_update& update, bool is_sync, base::time_point now);
    void refute(const member_update& claim, base::time_point now);
    void report_newer_incarnation(base::incarnation incarnation);
    void raise_suspicion(const base::node_ref& target, const base::node_id& accuser,
                         base::time_point now);
    /// Announces a state of this node; the update supersedes any with up to `superseded`
    /// refutations and so refutes their verdicts.
    void announce(announced_state state, std::uint32_t superseded, base::time_point now);
    void schedule_push(base::time_point now);

    void probe_next(base::time_point now);
    void advance_probes(base::time_point now);
    void expire_suspicions(base::time_point now);
    void push(base::time_point now);
    void rejoin(base::time_point now);
    void sync(base::time_point now);
    void report_newer_configuration(base::time_point now);

    void transmit(const endpoint& address, const base::node_ref& to, std::optional<message> payload,
                  base::time_point now);
    void compensate_for_stall(base::time_point now);
    void update_expected_call(base::time_point now);
    base::duration current_probe_period() const;
    suspicion_timers::timeouts suspicion_timeouts() const;
    struct rejoin_target;
    std::vector<rejoin_target> rejoin_targets() const;
    endpoint address_of(const base::node_ref& node, const endpoint& source) const;

    options options_;
    base::node_ref self_;
    member_table table_;
    expiring_set entries_;
    update_queue updates_;
    probe_order probe_order_;
    probe_tracker probes_;
    suspicion_timers suspicions_;
    configuration_watch configuration_;
    sync_session sync_;
    byte_budget update_budget_;
    byte_budget list_budget_;
    std::vector<action> actions_;

    /// Remaining push rounds for the latest updates.
    int push_rounds_ = 0;
    /// Nodes to push to in addition: suspects, which have to receive the suspicion in order to
    /// refute it.
    std::set<base::node_id> push_targets_;
    base::time_point next_probe_;
    base::time_point next_push_;
    base::time_point next_rejoin_;
    base::time_point next_sync_;
    /// Latest time at which the next call of tick() or receive() was expected.
    base::time_point expected_call_;
    base::incarnation newest_incarnation_reported_{};
};

}  // namespace caraway::membership
