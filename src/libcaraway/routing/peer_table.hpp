#pragma once

#include "libcaraway/routing/digest.hpp"
#include "libcaraway/routing/engines/slow_start.hpp"
#include "libcaraway/routing/origin_keepers.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace caraway::routing
{

struct peer_options
{
    /// Time between two digests to the same peer in a fleet of up to `full_rate_routers` routers.
    /// In larger fleets it grows with the number of routers, so that the number of digests that
    /// each router receives per second stays bounded.
    std::chrono::milliseconds digest_period{100};
    std::size_t full_rate_routers = 16;
    /// Number of digest periods without a digest after which a peer is considered unreachable and
    /// is no longer listed as an entry point.
    double reachable_periods = 6.5;
    /// Upper bound on that time, however long the digest period is, so that callers of a large
    /// fleet are not sent to a dead router for long.
    std::chrono::milliseconds max_silence{5000};
    /// Time between two digests to an unreachable peer; they detect that a network partition has
    /// healed.
    std::chrono::milliseconds probe_period{1000};
    /// Peers whose last digest is no older than this are counted when a router checks whether the
    /// router itself is isolated from the fleet.
    std::chrono::milliseconds recent_window{10000};
    /// How long a discovered peer counts as alive while its first digest is awaited.
    std::chrono::milliseconds first_digest_timeout{5000};
    /// Time since its last digest, or since its discovery, after which a peer is removed. If the
    /// peer is alive after all, it is discovered again through the platform's table.
    std::chrono::milliseconds expiry{60000};
    /// With fewer entry points than this in the caller's zone, those of other zones are added.
    std::size_t min_zone_entry_points = 2;
    /// Maximum number of entry points in one answer.
    std::size_t max_entry_points = 64;
    /// Ratio of a zone's request rate per core to that of the whole fleet above which callers of
    /// the zone are sent to other zones as well. This is a last resort that three equally loaded
    /// zones never reach: with 8 routers in 3 zones at normal load, a ratio of 1.5 led to 0.17 of
    /// the requests being rejected, a ratio of 4 to 0.06.
    double zone_overload_ratio = 4;
    /// Requests per second and core above which a router is left out of the entry points, provided
    /// that the fleet's average is below a third of the router's rate. At 0.3 ms per request it is
    /// a third of the processor time.
    double overload_rate = 1000;
};

/// Another router of the fleet.
struct peer
{
    base::node_id id;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    base::zone_id zone;
    endpoint callers;
    endpoint control;
    endpoint datagrams;
    bool ready = false;
    double capacity = 1;
    double request_rate = 0;
    base::config_version version{};
    std::chrono::milliseconds tables_fresh_for{};
    bool keeps_origins = false;
    /// When the last digest was received; empty before the first one.
    std::optional<base::time_point> last_digest;
    base::time_point known_since{};
    base::time_point last_sent{};
};

/// The sender of a digest, as the digest describes it.
peer peer_of(const digest& received);

/// The other routers. They are discovered through the platform's table, the seeds in the settings
/// and other routers' copies of the tables, and then kept current by their own digests.
class peer_table
{
public:
    peer_table(base::node_id self, base::zone_id zone, peer_options options = {});

    /// Adds a peer known only by name and addresses. For a known peer, only a later incarnation of
    /// an unreachable one changes anything.
    void add_discovered(const peer& discovered, base::time_point now);
    /// Whether a digest changes nothing: it is of an earlier incarnation, older than or equal to
    /// the last one, or this router's own.
    bool is_outdated(const digest_identity& identity) const;
    /// Updates the sender's entry. Returns false, and changes nothing, for an outdated digest.
    bool record_digest(const digest& received, base::time_point now);
    void remove_expired(base::time_point now);

    /// Datagram addresses of the peers that a digest is due to now: reachable ones each digest
    /// period, unreachable ones each probe period. Marks the digests as sent.
    std::vector<endpoint> take_due(base::time_point now);
    /// Digests to peers of this zone are sent at least this often, however large the fleet is;
    /// empty: as often as to all peers.
    void set_max_zone_period(std::optional<base::duration> period)
    {
        max_zone_period_ = period;
    }

    /// Datagram addresses of the reachable peers in this router's zone.
    std::vector<endpoint> reachable_in_zone(base::time_point now) const;

    /// Addresses that a caller of `zone` should connect to, chosen among all ready routers
    /// including this one (`self`). Callers pick one at random, so a router is listed with a
    /// probability in proportion to its capacity, relative to the largest candidate.
    /// `random_unit` returns values uniform in [0, 1).
    ///
    /// If less than half of the peers that sent a digest recently are reachable, this router is
    /// probably isolated from the fleet itself, so unreachable peers are listed as well: callers
    /// skip dead routers, and would otherwise all connect to this one.
    std::vector<endpoint> entry_points(const base::zone_id& zone, const peer& self,
                                       base::time_point now,
                                       const std::function<double()>& random_unit) const;
    /// The other routers that are alive or may be: reachable ones, and recently discovered ones
    /// whose first digest is still awaited.
    engines::fleet_view fleet(base::time_point now) const;
    /// Time between two digests to the same peer at the fleet's current size.
    std::chrono::milliseconds digest_period() const;

    /// A reachable peer with the newest configuration, if that is newer than `version`; null if
    /// there is none. The peer is chosen at random, from this router's zone if possible, so that
    /// routers that need a copy at the same moment don't all request it from the same peer.
    /// `random_unit` is uniform in [0, 1).
    const peer* with_newer_configuration(base::config_version version, base::time_point now,
                                         double random_unit) const;
    /// A reachable peer with a fresh copy of the platform's tables, chosen in the same way.
    const peer* with_fresh_tables(base::time_point now, double random_unit) const;
    /// Whether a reachable peer's copy of the platform's tables has been fresh without interruption
    /// since before `start`.
    bool any_fresh_since(base::time_point start, base::time_point now) const;

    /// The peer of this router's zone with this datagram address; null if there is none.
    const peer* in_zone(const endpoint& datagrams) const;
    /// The reachable peers that keep origins of other routers' streams.
    std::vector<origin_keeper> reachable_keepers(base::time_point now) const;

    /// Whether a digest of the peer was received recently enough.
    bool is_reachable(const peer& candidate, base::time_point now) const;
    std::size_t size() const
    {
        return peers_.size();
    }
    const std::map<base::node_id, peer>& all() const
    {
        return peers_;
    }

private:
    bool is_isolated(base::time_point now) const;
    std::chrono::milliseconds reachable_time() const;
    /// Time between two digests to this peer.
    base::duration period_to(const peer& receiver) const;
    const peer* pick_random(std::vector<const peer*> candidates, double random_unit) const;
    /// Removes overloaded routers, unless less than half or just half of the routers would remain.
    void remove_overloaded(std::vector<const peer*>& routers) const;
    std::vector<const peer*> entry_candidates(const peer& self, base::time_point now) const;

    base::node_id self_;
    base::zone_id zone_;
    peer_options options_;
    std::optional<base::duration> max_zone_period_;
    std::map<base::node_id, peer> peers_;
};

}  // namespace caraway::routing
