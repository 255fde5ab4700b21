#pragma once

#include "libcaraway/routing/digest.hpp"
#include "libcaraway/routing/slow_start.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace caraway::routing
{

struct peer_options
{
    /// Time between two digests to one peer, in a fleet of up to `full_rate` routers; in larger
    /// ones it grows with their number, so that each gets no more digests a second.
    std::chrono::milliseconds digest_period{100};
    std::size_t full_rate_routers = 16;
    /// A peer that was silent for so many periods isn't given to callers.
    double reachable_periods = 6.5;
    /// However long those are: callers mustn't be sent for long to one that is gone.
    std::chrono::milliseconds max_silence{5000};
    /// A silent peer still gets digests, less often, so that a healed cut is noticed.
    std::chrono::milliseconds probe_period{1000};
    /// Peers heard within this count when a router asks itself whether it is cut off.
    std::chrono::milliseconds recent_window{10000};
    /// How long a router that it was told of counts as living before it is heard.
    std::chrono::milliseconds first_digest_timeout{5000};
    /// From then on it is forgotten; the platform's table brings it back if it lives.
    std::chrono::milliseconds expiry{60000};
    /// Entry points given to a caller of a zone before those of other zones are added.
    std::size_t min_zone_entry_points = 2;
    /// Entry points in one answer at most.
    std::size_t max_entry_points = 64;
    /// Callers of a zone are sent to others too once its routers get so many times the requests for
    /// their capacity that all routers get. At 1.5 a calm day of 8 routers in 3 zones refused 0.17
    /// of its requests, at 4 0.06: it is a last resort, and with three zones alike never reached.
    double zone_overload_ratio = 4;
    /// Requests a second for a core from which a router is left out of the lists while others get
    /// less than a third of that: at 0.3 ms a request a third of its processor's time.
    double overload_rate = 1000;
};

/// A router that others know.
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
    /// Nothing before the first digest.
    std::optional<base::time_point> last_digest;
    base::time_point known_since{};
    base::time_point last_sent{};
};

/// What a digest tells of its sender.
peer peer_of(const digest& from);

/// The other routers: from the platform's table and the first routers named in the settings, then
/// from their own digests.
class peer_table
{
public:
    peer_table(base::node_id self, base::zone_id zone, peer_options options = {});

    /// Told of it; nothing changes for one that is known.
    void add_discovered(const peer& of, base::time_point now);
    /// False for a digest of an earlier life, an older one, or this router's own.
    bool record_digest(const digest& from, base::time_point now);
    void remove_expired(base::time_point now);

    /// Peers that get a digest now: those that are heard, and at times the silent ones.
    std::vector<endpoint> take_due(base::time_point now);

    /// Those of this router's zone that are heard.
    std::vector<endpoint> reachable_in_zone(base::time_point now) const;

    /// Where a caller of that zone should connect, out of all routers, this one (`self`) included
    /// if it is ready. Callers pick one at random, so a smaller VM is named less often: in
    /// proportion to the largest one named. `draw` is uniform in [0, 1).
    ///
    /// A router that hears less than half of those it knows is likely cut off itself, so it names
    /// all it knows: callers pass over dead ones, and would else all come here.
    std::vector<endpoint> entry_points(const base::zone_id& zone, const peer& self,
                                       base::time_point now,
                                       const std::function<double()>& draw) const;
    /// The other routers that live, or may: those that are heard, and those that it has just been
    /// told of.
    fleet_view fleet(base::time_point now) const;
    /// Time between two digests to one peer, as the fleet is now.
    std::chrono::milliseconds digest_period() const;

    /// A heard peer with the newest configuration, if that is newer, or with a fresh copy of the
    /// platform's tables. Drawn, from this router's zone if there are any: all that look for one
    /// would else ask the same at the same moment. `draw` is uniform in [0, 1).
    const peer* with_newer_configuration(base::config_version than, base::time_point now,
                                         double draw) const;
    const peer* with_fresh_tables(base::time_point now, double draw) const;
    /// Whether a heard peer has had the platform's store without a break since then.
    bool any_fresh_since(base::time_point then, base::time_point now) const;

    bool is_reachable(const peer& of, base::time_point now) const;
    std::size_t size() const
    {
        return peers_.size();
    }
    const std::map<base::node_id, peer>& all() const
    {
        return peers_;
    }

private:
    bool seems_cut_off(base::time_point now) const;
    std::chrono::milliseconds silence() const;
    const peer* drawn(std::vector<const peer*> from, double draw) const;
    void leave_out_flooded(std::vector<const peer*>& from) const;
    std::vector<const peer*> listed(const peer& self, base::time_point now) const;

    base::node_id self_;
    base::zone_id zone_;
    peer_options options_;
    std::map<base::node_id, peer> peers_;
};

}  // namespace caraway::routing
