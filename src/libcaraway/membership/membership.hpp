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

/// Send these messages to one peer, together if they fit. An empty id in `to` means "whoever is
/// there": a seed that isn't known yet.
struct send
{
    endpoint address;
    base::node_ref to;
    std::vector<message> messages;
};

/// A node's life, announced state or verdict changed, or a node was met for the first time.
struct member_changed
{
    member current;
    /// None when the node was unknown.
    std::optional<member_state> former;
};

/// Somebody holds a configuration that is newer than ours. Said again now and then until
/// set_own_configuration() catches up, so that a failed fetch needs no memory elsewhere.
struct newer_configuration_seen
{
    base::node_id holder;
    base::config_version version{};
    config::sha256_hex hash;
};

/// The fleet knows a later life of this node's own id: its clock went back, or two processes have
/// the same id. While joining, start again with a life above this one; later, it is a duplicate.
struct newer_incarnation_seen
{
    base::incarnation incarnation{};
};

using action = std::variant<send, member_changed, newer_configuration_seen, newer_incarnation_seen>;

/// Times and limits. The defaults detect a death at eight nodes in about two seconds.
struct membership_options
{
    /// Addresses to join by and to look for lost nodes at; see set_seeds().
    std::vector<endpoint> seeds;
    /// Any 64 random bits.
    random_source random;

    /// One member is probed in each period.
    base::duration period = std::chrono::milliseconds(500);
    /// Used while there are at most `small_fleet` members: fewer probers must each look oftener.
    base::duration short_period = std::chrono::milliseconds(250);
    std::size_t small_fleet = 40;
    /// Without an answer for so long, others are asked to probe.
    base::duration direct_timeout = std::chrono::milliseconds(150);
    /// Without any answer for so long, the member is suspected.
    base::duration probe_timeout = std::chrono::milliseconds(400);
    std::size_t indirect_probes = 3;

    /// A suspect that is confirmed by others is dead after this long, one that nobody else suspects
    /// after three times as long; both grow with the logarithm of the fleet's size.
    base::duration suspicion = std::chrono::milliseconds(800);
    /// An update rides on this many messages times log2 of the fleet's size, a suspicion on half.
    std::size_t retransmit_factor = 2;
    /// News is pushed to this many members, at most once in a push interval.
    std::size_t push_fanout = 2;
    base::duration push_interval = std::chrono::milliseconds(200);

    /// One dead or unmet address is tried in each of these.
    base::duration rejoin_interval = std::chrono::seconds(2);
    /// One member's list is compared with ours in each of these.
    base::duration sync_interval = std::chrono::seconds(15);
    /// The same while peers are met whose list differs. News that is under way makes lists differ,
    /// too.
    base::duration mismatch_sync_interval = std::chrono::seconds(2);
    /// How long the dead are remembered, and looked for.
    base::duration dead_retention = std::chrono::hours(1);

    /// Estimated bytes of all messages of one `send`.
    std::size_t max_bytes = 1100;
    /// What updates may take on average, and at once, and lists of members as much again: were the
    /// two paid from one budget, a flood of updates would leave nothing for the lists that end it.
    /// The loss of a region is more news than that; then it takes longer.
    std::size_t bytes_a_second = 2000;
    std::size_t burst_bytes = 40000;
    std::size_t max_samples = 4;
    std::size_t max_entry_bytes = 120;
    expiring_set_options entries;
};

/// Who is in the fleet: a SWIM-like failure detector with gossip, as a state machine.
///
/// Every node probes one member a period, directly and then through others, so that what a node
/// sends does not grow with the fleet. Nothing is agreed upon: two nodes may disagree for seconds,
/// and only performance may depend on it. Actions pile up until take_actions().
class membership
{
public:
    using options = membership_options;

    /// `self` is this life of this node; it starts as joining. Randomness comes from the options.
    membership(options options, base::node_ref self, member_details details, base::time_point now);

    /// One message of an authenticated envelope. `from` is the envelope's sender.
    void receive(const endpoint& source, const base::node_ref& from, const message& received,
                 base::time_point now);
    /// Does what is due. Call at next_wakeup(), or oftener.
    void tick(base::time_point now);
    base::time_point next_wakeup() const;
    std::vector<action> take_actions();

    /// Ends the cold start: callers and ownership may come.
    void set_ready(base::time_point now);
    /// Begins the graceful shutdown: announced at once, no way back.
    void set_leaving(base::time_point now);
    /// Last words before the process ends: peers need no suspicion to forget this life.
    void set_left(base::time_point now);
    void set_own_load(const load_digest& load, base::time_point now);
    /// The configuration in force here. Never goes back.
    void set_own_configuration(base::config_version version, const config::sha256_hex& hash,
                               base::time_point now);
    /// Replaces the seeds, as from a newer VM list.
    void set_seeds(std::vector<endpoint> seeds);

    /// Counts one more for a fingerprint in the fleet's expiring set, and spreads it at once.
    std::uint32_t count_up(std::uint64_t fingerprint, std::chrono::milliseconds ttl,
                           base::time_point now);
    const expiring_set& entries() const
    {
        return entries_;
    }

    const base::node_ref& self() const
    {
        return self_;
    }
    /// Every node known, this one included, the dead for as long as they are remembered.
    const std::map<base::node_id, member>& members() const
    {
        return table_.all();
    }
    /// Those that take part (see member::takes_part), in order of id, this one included if ready.
    std::vector<member> alive() const;
    /// The node with this id, or null.
    const member* find(const base::node_id& id) const
    {
        return table_.find(id);
    }

private:
    void handle(const endpoint& source, const base::node_ref& from, const probe& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& from, const probe_ack& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& from, const probe_nack& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& from, const probe_request& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& from, const sync_request& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& from, const sync_reply& received,
                base::time_point now);
    void handle(const endpoint& source, const base::node_ref& from, const gossip& received,
                base::time_point now);

    void take_update(member_update update, bool is_sync, base::time_point now);
    void take_status(const base::node_ref& from, const gossip& received, base::time_point now);
    void take_sample(const load_sample& sample, base::time_point now);
    void apply(const member_update& update, bool is_sync, base::time_point now);
    void defend(const member_update& claim, base::time_point now);
    void note_newer_life(base::incarnation life);
    void accuse(const base::node_ref& target, const base::node_id& accuser, base::time_point now);
    /// Also refutes: the update supersedes any with `above` refutations.
    void announce(announced_state state, std::uint32_t above, base::time_point now);
    void tell_soon(base::time_point now);

    void probe_next(base::time_point now);
    void follow_probes(base::time_point now);
    void bury(base::time_point now);
    void push(base::time_point now);
    void rejoin(base::time_point now);
    void sync(base::time_point now);
    void remind(base::time_point now);

    void transmit(const endpoint& address, const base::node_ref& to, std::optional<message> with,
                  base::time_point now);
    void absorb_stall(base::time_point now);
    void expect_call(base::time_point now);
    base::duration probe_period() const;
    suspicion_timers::span suspicion_span() const;
    struct lost_node;
    std::vector<lost_node> lost_nodes() const;
    endpoint address_of(const base::node_ref& node, const endpoint& source) const;

    options options_;
    base::node_ref self_;
    member_table table_;
    expiring_set entries_;
    update_queue updates_;
    probe_order order_;
    probe_tracker probes_;
    suspicion_timers suspicions_;
    configuration_watch configuration_;
    sync_session sync_;
    byte_budget update_budget_;
    byte_budget list_budget_;
    std::vector<action> actions_;

    /// Rounds of pushes that the latest news still gets.
    int push_rounds_ = 0;
    /// Whom to push to besides: suspects, which must hear of it in order to refute.
    std::set<base::node_id> push_to_;
    base::time_point next_probe_;
    base::time_point next_push_;
    base::time_point next_rejoin_;
    base::time_point next_sync_;
    /// When the next call was to come at the latest.
    base::time_point expected_;
    base::incarnation newest_life_said_{};
};

}  // namespace caraway::membership
