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
    /// Routers of a zone that ask the store; the rest hear from them. Two, so that one may die or
    /// be cut off without a pause.
    std::size_t pollers = 2;
    /// In a smaller zone each asks by itself: there is little to save.
    std::size_t min_shared_routers = 5;
    /// How long an upstream that leaves goes on serving: within it each router has to know.
    std::chrono::milliseconds leaving_notice{2000};
    /// A follower that has told of no new answer for this part of the notice is taken for cut off,
    /// frozen or dead, and the next in line asks. The store holds a call that waits for changes for
    /// half of that time.
    double stale_fraction = 0.6;
    /// A router whose own copy nobody has confirmed for this part asks the store itself, whatever
    /// others do: the rest of the notice is for the call.
    double unconfirmed_fraction = 0.8;
    /// One that couldn't reach the store is the last to be asked again for so long.
    std::chrono::milliseconds avoid_period{5000};
    /// How long a router that starts waits for a copy of those that its settings name before it
    /// asks the store.
    std::chrono::milliseconds initial_copy_timeout{1000};
    /// How long it goes by such a copy, as long as that is confirmed, before it hears enough of its
    /// zone to know who asks: routers that start find each other within some pulls of a copy.
    std::chrono::milliseconds settling_period{4000};
};

/// What a router says of its copy of the platform's tables, in its digests.
struct table_state
{
    /// It asks the store itself.
    bool polls_store = false;
    /// It tried and couldn't reach it.
    bool store_unreachable = false;
    /// Answers of the store so far: while they are counted on, the copy is current.
    std::uint64_t answer_count = 0;
    /// The store's revision up to which the copy is current.
    std::uint64_t revision = 0;
    /// A hash of what the copy says of upstreams: equal copies have equal marks.
    std::uint64_t content_hash = 0;

    friend bool operator==(const table_state&, const table_state&) = default;
};

/// Decides who of a zone's routers asks the platform's store, so that a fleet of hundreds costs it
/// a few calls a second. Nobody is elected and nothing is agreed: each router orders those of its
/// zone that it hears in the same way, and asks if it is among the first. Two that hear different
/// ones ask both, which does no harm.
class table_relay
{
public:
    explicit table_relay(base::node_id self, relay_options options = {});

    void set_leaving_notice(std::chrono::milliseconds notice);
    /// It starts, and others may have the tables already. All routers of a fleet start at one
    /// moment, know nobody, and each would read all tables from the store.
    void wait_for_peers(base::time_point now);
    /// None of those others answers.
    void stop_waiting_for_peers();
    /// A router of the same zone told of its copy.
    void record_peer(const base::node_id& peer, double capacity, const table_state& of,
                     base::time_point now);
    /// This router's copy, and that it has read one at all.
    void set_own_state(double capacity, const table_state& of, bool has_read, base::time_point now);
    /// It couldn't reach the store.
    void record_store_unreachable(base::time_point now);
    /// It has taken over a peer's copy.
    void record_copy(const base::node_id& from, const table_state& of, base::time_point now);

    /// Whether it asks the store itself now.
    bool should_poll_store(base::time_point now) const;
    /// Whether few routers of the zone ask for all.
    bool is_shared(base::time_point now) const;
    /// A peer whose copy is newer and says something else.
    std::optional<base::node_id> source(base::time_point now) const;
    /// Whether it tried and couldn't reach the store lately.
    bool is_store_unreachable(base::time_point now) const;

private:
    struct mate
    {
        double capacity = 1;
        table_state state;
        base::time_point last_digest{};
        /// When it told of a new answer last.
        base::time_point answered{};
    };

    bool is_stale(const mate& of, base::time_point now) const;
    bool is_source(const mate& of, base::time_point now) const;
    std::size_t rank(base::time_point now) const;
    std::size_t mates_heard(base::time_point now) const;
    base::duration part_of_notice(double part) const;
    bool relies_on_others(base::time_point now) const;

    base::node_id self_;
    relay_options options_;
    std::map<base::node_id, mate> mates_;
    double capacity_ = 1;
    bool has_read_ = false;
    /// What this router's copy is a copy of, and whose.
    table_state copied_;
    base::node_id copied_from_;
    /// When somebody, or the store itself, last confirmed it.
    base::time_point confirmed_{};
    std::optional<base::time_point> lost_at_;
    /// When it began to wait for others.
    std::optional<base::time_point> relies_since_;
};

}  // namespace caraway::routing
