#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/change_log.hpp"
#include "libcaraway/routing/drained_zones.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caraway::routing
{

/// Where an upstream is reached.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// One life of an upstream, as the platform lists it.
struct upstream
{
    base::upstream_id id;
    base::service_id service;
    endpoint address;
    base::zone_id zone;
    std::uint32_t slots = 1;
    /// Takes no new requests; ends soon.
    bool draining = false;
    /// The start of its process, by its own clock, since the epoch; 0: not told. A later one under
    /// the same id is another process, which holds and knows nothing of the one before.
    std::chrono::milliseconds process_start{};
    /// How long it stays cold after its start, by its own word when it was written; nothing: it
    /// didn't say.
    std::optional<std::chrono::milliseconds> warmup_left;
    /// Of the id, the same at all routers; the directory fills it in.
    std::uint64_t hash = 0;
};

/// A life of an upstream that takes no new requests.
struct leaving_upstream
{
    base::upstream_id id;
    std::chrono::milliseconds process_start{};
};

/// When something was said of entries.
struct update_stamp
{
    /// The store's revision in which it was written, or up to which a listing is current. It rises
    /// with each change of any row, whoever tells of it.
    std::uint64_t revision = 0;
    /// When this router heard of it.
    base::time_point received{};
};

struct directory_options
{
    /// Entries that lapsed while the platform's store was away are back within two seconds of its
    /// return if the upstream lives (the platform's contract); a little more for the way.
    std::chrono::milliseconds recovery_grace{2300};
    /// How long peers are told of one that leaves: several digests of the largest fleets.
    std::chrono::milliseconds leaving_retention{4000};
    /// How long it is remembered what was said last of an entry that is gone. What comes late is
    /// seconds late: calls to the store end after 3.3 s, a suspended VM wakes within tens of
    /// seconds.
    std::chrono::hours tombstone_retention{1};
};

/// The upstreams that may get requests. An entry that disappears normally means that its upstream
/// leaves, and it gets nothing more. Around an outage of the store it means nothing yet: entries
/// lapse because the upstreams couldn't refresh them, and a router that believed it would have no
/// upstreams left. So removals seen during an outage or within `return_grace` of its end wait until
/// that time is over.
///
/// Statements come from the store and from peers, some of them late: an answer may wait in a busy
/// router while a newer copy of a peer is taken over, a peer's copy may be older than what is known
/// here, an answer after an outage repeats what happened in it. Applied as they come, an older one
/// put an upstream back that had left, and requests went to it until it was gone. So each carries
/// the store's revision, and of each entry only what is newer than the last statement counts.
class upstream_directory
{
public:
    explicit upstream_directory(directory_options options = {});

    /// How an entry relates to what is known of the same id.
    enum class change
    {
        same_incarnation,
        /// Another process than before: what was believed of its life before ends.
        restarted,
        /// Of a life that has ended, or older than what is known; ignored.
        outdated,
    };
    change put(const upstream& entry, const update_stamp& when);
    /// What came of a removal.
    enum class removal
    {
        not_listed,
        /// Older than what is known; ignored.
        outdated,
        /// It gets nothing more.
        applied,
        /// It may be back: it is kept until the grace is over.
        deferred,
    };
    removal remove(const base::upstream_id& id, const update_stamp& when);
    /// The whole listing: removes what it lacks. Returns what it removed.
    std::vector<base::upstream_id> remove_unlisted(const std::set<base::upstream_id>& listed,
                                                   const update_stamp& when);

    void record_store_lost(base::time_point now);
    void record_store_recovered(base::time_point now);
    /// Another router has had the store all the while since this one lost it: it was this router
    /// that was cut off, upstreams could refresh their entries, and what is missing is gone.
    /// Returns what it dropped.
    std::vector<base::upstream_id> cancel_grace(base::time_point now);
    /// When the store was lost last; nothing while no removal waits to be believed.
    std::optional<base::time_point> deferring_outage_start() const;
    /// Drops what is still missing when the grace is over, and returns it.
    std::vector<base::upstream_id> expire(base::time_point now);
    /// A peer knows that it leaves: no new requests for a while, in which the own listing says so
    /// too. Not for longer, as a peer may be wrong, or late.
    void record_leaving(const leaving_upstream& what, base::time_point now);
    /// Lives that left, or said that they do, in the last seconds; for peers.
    std::vector<leaving_upstream> leaving(base::time_point now) const;
    /// It refused as another instance: whatever has been said of it so far, it is gone.
    void discard(const base::upstream_id& id);
    /// Its entry was written over by something that names no upstream. Whether that is the newest
    /// statement.
    bool discard(const base::upstream_id& id, const update_stamp& when);

    /// Something was said of an availability zone; whether it changes what holds.
    bool record_zone(const zone_update& what);
    const drained_zones& zones() const
    {
        return zones_;
    }
    /// The service has upstreams, and all of them are in drained zones.
    bool all_drained(const base::service_id& service) const;
    /// Which part of the upstreams that don't leave is outside of drained zones.
    double undrained_fraction() const;

    /// Upstreams of the service that take new requests, until the next change.
    const std::vector<const upstream*>& usable(const base::service_id& service) const;
    const upstream* find(const base::upstream_id& id) const;
    std::size_t size() const
    {
        return entries_.size();
    }
    /// A hash of all entries, the same at each router that holds the same.
    std::uint64_t content_hash() const;
    /// Entries that came, changed or went.
    const change_log& changes() const
    {
        return changes_;
    }
    /// The revision of the last statement about it; 0: there was none.
    std::uint64_t revision_of(const base::upstream_id& id) const;
    /// All entries, for the dump and for peers that can't reach the store.
    const std::map<base::upstream_id, upstream>& all() const
    {
        return entries_;
    }

private:
    bool in_grace(base::time_point now) const;
    std::vector<base::upstream_id> drop_missing(base::time_point now);
    void drop(const base::upstream_id& id, base::time_point now);
    bool is_usable(const upstream& of) const;

    /// The last statement about an id, also after its entry has gone.
    struct statement
    {
        std::uint64_t revision = 0;
        /// The latest start that was told.
        std::chrono::milliseconds process_start{};
        base::time_point received{};
    };

    /// Takes note of a statement; whether it is the newest.
    bool is_news(const base::upstream_id& id, const update_stamp& when);

    directory_options options_;
    std::map<base::upstream_id, upstream> entries_;
    std::map<base::upstream_id, statement> last_;
    using life_times =
        std::map<base::upstream_id, std::pair<std::chrono::milliseconds, base::time_point>>;
    /// Which life leaves, and since when that is known: here, and from peers.
    life_times leaving_;
    life_times told_;
    drained_zones zones_;
    change_log changes_;
    /// As of which change the mark was worked out, and what it is.
    mutable std::pair<std::uint64_t, std::uint64_t> mark_{};
    /// By service, as asked for since the last change: each request asks.
    mutable std::map<base::service_id, std::vector<const upstream*>> usable_;
    /// Listed no more, but not yet believed.
    std::map<base::upstream_id, bool> missing_;
    bool lost_ = false;
    base::time_point lost_since_{};
    base::time_point grace_until_{};
};

/// For log lines.
std::string_view name(upstream_directory::removal of);

}  // namespace caraway::routing
