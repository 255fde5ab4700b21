#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace caraway::routing
{

struct relay_options
{
    /// The number of a zone's routers that poll the store; the others copy from them. With two, one
    /// may fail or be cut off without interrupting updates.
    std::size_t pollers = 2;
    /// In a zone with fewer routers each polls the store: sharing would save little.
    std::size_t min_shared_routers = 5;
    /// How long a leaving upstream still serves. Each router must know of it within this time.
    std::chrono::milliseconds leaving_notice{2000};
    /// A router without a digest for this fraction of the notice is considered dead.
    double silent_fraction = 0.6;
    /// A poller whose last answer is older than this fraction of the notice is considered cut off
    /// or frozen, and the next router in the order polls.
    double stale_fraction = 0.5;
    /// A router whose copy was confirmed longer ago than this fraction of the notice polls the
    /// store regardless of its rank. The rest of the notice is for the call, for telling the
    /// others, and for requests on their way through a router on an overloaded VM.
    double unconfirmed_fraction = 0.5;
    /// The maximum time between two digests of a poller to a router that relies on it, and for
    /// which the store holds a poller's call, as fractions of the notice. Together they stay
    /// below `stale_fraction`, with the gap between two calls.
    double digest_fraction = 0.15;
    double hold_fraction = 0.1;
    /// How long a router that couldn't reach the store is ordered behind the others.
    std::chrono::milliseconds avoid_period{5000};
    /// How long a starting router waits for a copy from the seed routers in its settings before it
    /// polls the store.
    std::chrono::milliseconds initial_copy_timeout{1000};
    /// How long a starting router relies on such a copy, while it stays confirmed, until it knows
    /// enough peers of its zone to tell which of them poll. Starting routers discover each other
    /// within a few copies.
    std::chrono::milliseconds settling_period{4000};
    /// As `unconfirmed_fraction`, for such a router.
    double settling_unconfirmed_fraction = 0.8;
};

/// The state of a router's copy of the platform's tables, as reported in its digests.
struct table_state
{
    /// The router polls the store itself.
    bool polls_store = false;
    /// The router's recent calls to the store failed.
    bool store_unreachable = false;
    /// The number of answers received from the store. The copy is current while this grows.
    std::uint64_t answer_count = 0;
    /// The store's revision up to which the copy is current.
    std::uint64_t revision = 0;
    /// A hash of the copy's upstreams: equal copies have equal hashes.
    std::uint64_t content_hash = 0;
    /// Time since the store's last answer, when the state was sent.
    std::chrono::milliseconds answer_age{};

    friend bool operator==(const table_state&, const table_state&) = default;
};

/// Decides which of a zone's routers poll the platform's store, so that a fleet of hundreds causes
/// only a few calls per second. There is no election and no consensus: each router sorts the
/// routers of its zone that it receives digests from by the same order, and polls if it is among
/// the first. If two routers see different peers, both may poll, which is harmless.
class table_relay
{
public:
    explicit table_relay(base::node_id self, relay_options options = {});

    void set_leaving_notice(std::chrono::milliseconds notice);
    /// Called when this router starts and peers may have the tables already. Otherwise, when all
    /// routers of a fleet start at once and know no peers, each would read all tables from the
    /// store.
    void wait_for_peers(base::time_point now);
    /// Called when none of the seed routers answers.
    void stop_waiting_for_peers();
    /// Records the state of a peer's copy, from a digest of a router in the same zone. `received`
    /// is the earliest time at which the digest can have arrived: one that waits in a busy
    /// router's socket confirms less than it seems to.
    void record_peer(const base::node_id& peer, double capacity, const table_state& state,
                     base::time_point received);
    /// The state of this router's own copy. `has_read` is true once the router has all tables.
    void set_own_state(double capacity, const table_state& state, bool has_read,
                       base::time_point now);
    /// This router's call to the store failed.
    void record_store_unreachable(base::time_point now);
    /// The maximum time between two digests to this zone while this router polls the store.
    base::duration max_digest_period() const
    {
        return fraction_of_notice(options_.digest_fraction);
    }
    /// How long the store may hold a call of this router.
    base::duration max_hold() const
    {
        return fraction_of_notice(options_.hold_fraction);
    }
    /// This router has replaced its copy by that of a peer.
    void record_copy(const base::node_id& from, const table_state& state, base::time_point now);

    /// Whether this router should poll the store now.
    bool should_poll_store(base::time_point now) const;
    /// Whether the zone is large enough that only a few of its routers poll the store for all.
    bool is_shared(base::time_point now) const;
    /// The peer to copy from: one that polls the store and whose copy is newer and has other
    /// content. Empty if there is none.
    std::optional<base::node_id> source(base::time_point now) const;
    /// The router of the zone that comes first among those that poll the store, this one included
    /// if `polls_itself`; empty if none does.
    std::optional<base::node_id> first_poller(bool polls_itself, base::time_point now) const;
    /// Whether the router of this zone is known to poll the store.
    bool polls_store(const base::node_id& peer) const;
    /// The time since a poller or the store last confirmed this router's copy.
    base::duration unconfirmed_for(base::time_point now) const
    {
        return now - last_confirmed_;
    }
    /// Whether that is short enough for requests to be sent by the copy after this router stood
    /// still.
    bool is_confirmed(base::time_point now) const
    {
        return unconfirmed_for(now) <= fraction_of_notice(options_.unconfirmed_fraction);
    }
    /// Whether a call of this router to the store has failed within `avoid_period`.
    bool is_store_unreachable(base::time_point now) const;

private:
    struct peer_state
    {
        double capacity = 1;
        table_state state;
        base::time_point last_digest{};
        /// When the store last answered the peer.
        base::time_point last_answer{};
    };

    /// An answer of the store at this time confirmed the copy.
    void confirm(base::time_point answered);
    bool is_stale(const peer_state& peer, base::time_point now) const;
    /// Has sent no digest lately: considered dead.
    bool is_silent(const peer_state& peer, base::time_point now) const;
    /// Comes after the routers that can reach the store.
    bool is_deprioritized(const peer_state& peer, base::time_point now) const;
    bool is_source(const peer_state& peer, base::time_point now) const;
    std::size_t rank(base::time_point now) const;
    std::size_t reachable_peer_count(base::time_point now) const;
    base::duration fraction_of_notice(double fraction) const;
    bool is_waiting_for_peers(base::time_point now) const;

    base::node_id self_;
    relay_options options_;
    std::map<base::node_id, peer_state> peers_;
    double capacity_ = 1;
    bool has_read_ = false;
    /// The state of the copy that this router holds, and the router it came from.
    table_state copy_;
    base::node_id copy_source_;
    /// The time of the last answer of the store, to this router or a poller, that confirmed the
    /// copy.
    base::time_point last_confirmed_{};
    std::optional<base::time_point> last_store_failure_;
    /// When this router began to wait for peers.
    std::optional<base::time_point> waiting_since_;
};

}  // namespace caraway::routing
