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

/// The network address of an upstream.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// One incarnation of an upstream, as listed by the platform.
struct upstream
{
    base::upstream_id id;
    base::service_id service;
    endpoint address;
    base::zone_id zone;
    /// Empty if its entry names none.
    base::software_version software;
    std::uint32_t slots = 1;
    /// Shutting down: takes no new requests.
    bool draining = false;
    /// When its process started, by the upstream's clock, since the epoch; 0 if unknown. A later
    /// start under the same id is another process, which has none of the previous one's state.
    std::chrono::milliseconds process_start{};
    /// Remaining warm-up time that the upstream reported when its entry was written; empty if it
    /// reported none.
    std::optional<std::chrono::milliseconds> warmup_left;
    /// Hash of `id`, equal at all routers. Set by the directory.
    std::uint64_t hash = 0;
};

/// An incarnation of an upstream that takes no new requests.
struct leaving_upstream
{
    base::upstream_id id;
    std::chrono::milliseconds process_start{};
};

/// Orders updates of entries.
struct update_stamp
{
    /// The store's revision that wrote the row, or up to which a listing is current. The store
    /// raises it with each change of any row, so it orders updates from all sources.
    std::uint64_t revision = 0;
    /// When this router received the update.
    base::time_point received{};
};

struct directory_options
{
    /// How long removals are deferred after an outage of the platform's store in which entries of
    /// live upstreams may have expired. By the platform's contract, live upstreams whose entries
    /// expired during the outage register again within two seconds of its end; the rest allows for
    /// transmission.
    std::chrono::milliseconds recovery_grace{2300};
    /// How long peers are told of a leaving upstream: several digest periods of the largest fleets.
    std::chrono::milliseconds leaving_retention{4000};
    /// How long the last update of a removed entry is kept, so that late updates can be recognised
    /// as outdated. Updates arrive seconds late at most: calls to the store time out after 3.3 s,
    /// a suspended VM resumes within tens of seconds.
    std::chrono::hours tombstone_retention{1};
};

/// The upstreams that may get requests. Normally a removed entry means that its upstream is
/// shutting down and must get no more requests. During and just after an outage of the store,
/// entries also expire because upstreams can't refresh them; a router that applied those removals
/// would have no upstreams left. Removals received during an outage, or within `recovery_grace` of
/// its end, are therefore deferred until the grace period is over.
///
/// A call without an answer also counts as an outage, though only its connection may have been
/// dead. An outage that was shorter than entries need to expire defers nothing.
///
/// Updates arrive from the store and from peers, possibly out of order: an answer may be delayed in
/// a busy router while a peer's newer copy is applied, a peer's copy may be stale, and an answer
/// after an outage repeats the changes made during it. Applied in order of arrival, a stale update
/// would restore an upstream that has left, and requests would be sent to it until it is removed
/// again. Each update therefore carries the store's revision, and an entry accepts only updates
/// newer than its last one.
class upstream_directory
{
public:
    explicit upstream_directory(directory_options options = {});

    /// How an entry relates to the known one of the same id.
    enum class change
    {
        same_incarnation,
        /// Another process than before: state kept about the previous incarnation is obsolete.
        restarted,
        /// Of a previous incarnation, or older than the last update; ignored.
        outdated,
    };
    change put(const upstream& entry, const update_stamp& stamp);
    /// The outcome of a removal.
    enum class removal
    {
        not_listed,
        /// Older than the last update; ignored.
        outdated,
        /// The upstream gets no more requests.
        applied,
        /// The upstream may register again: it stays usable until the grace period is over.
        deferred,
    };
    removal remove(const base::upstream_id& id, const update_stamp& stamp);
    /// Removes all entries that a complete listing lacks. Returns those removed at once; others may
    /// be deferred.
    std::vector<base::upstream_id> remove_unlisted(const std::set<base::upstream_id>& listed,
                                                   const update_stamp& stamp);

    /// Sets how often live upstreams write their entries; 0 if unknown. An entry expires after
    /// three such intervals of silence.
    void set_heartbeat(std::chrono::milliseconds interval)
    {
        heartbeat_ = interval;
    }
    /// `last_contact`: the store was reachable then, for this router or a peer.
    void record_store_lost(base::time_point now, base::time_point last_contact);
    void record_store_recovered(base::time_point now);
    /// Whether entries of live upstreams may have expired in the current or last outage, if it ends
    /// or ended at `end`.
    bool may_have_expired(base::time_point end) const;
    /// Ends the grace period and applies the deferred removals, which it returns. For the case that
    /// a peer has reached the store throughout: then only this router was cut off, upstreams could
    /// refresh their entries, and missing entries belong to upstreams that have left.
    std::vector<base::upstream_id> cancel_grace(base::time_point now);
    /// The start of the last outage if it is over and removals are still deferred because of it;
    /// otherwise empty.
    std::optional<base::time_point> deferring_outage_start() const;
    /// Applies the deferred removals once the grace period is over, and returns them. Also evicts
    /// records of leaving and removed upstreams whose retention has ended.
    std::vector<base::upstream_id> expire(base::time_point now);
    /// A peer reports a leaving upstream, which gets no new requests for `leaving_retention`. By
    /// then this router's own listing shows it too; a longer exclusion would be wrong if the peer's
    /// report is mistaken or late.
    void record_leaving(const leaving_upstream& entry, base::time_point now);
    /// The upstream announced in an answer that it is shutting down. Its current incarnation gets
    /// no new requests from now on, whatever its entry says. Returns false if that is known
    /// already.
    bool record_announced_leaving(const base::upstream_id& id, base::time_point now);
    /// Incarnations seen draining or removed within `leaving_retention`, to report to peers.
    std::vector<leaving_upstream> leaving(base::time_point now) const;
    /// Removes an entry whose address turned out to belong to another instance: the upstream
    /// refused a request on that ground. Updates received so far can't restore the entry.
    void discard(const base::upstream_id& id);
    /// Removes an entry whose row was overwritten with a value that can't be decoded. Returns false
    /// if the update is outdated; the entry then stays.
    bool discard(const base::upstream_id& id, const update_stamp& stamp);

    /// Returns whether the update changes which zones are drained.
    bool record_zone(const zone_update& update);
    const drained_zones& zones() const
    {
        return zones_;
    }
    /// Whether no upstream of the service is usable and some of its upstreams are in drained zones.
    bool all_drained(const base::service_id& service) const;
    /// The fraction (0 to 1) of the upstreams not draining that are outside drained zones; 1 if
    /// there are none.
    double undrained_fraction() const;

    /// Upstreams of the service that take new requests. Valid until the directory's next change.
    const std::vector<const upstream*>& usable(const base::service_id& service) const;
    const upstream* find(const base::upstream_id& id) const;
    /// Whether the upstream is known and takes new requests.
    bool is_usable(const base::upstream_id& id) const;
    std::size_t size() const
    {
        return entries_.size();
    }
    /// A hash of all entries, equal at routers that hold equal entries.
    std::uint64_t content_hash() const;
    /// Entries that were added, changed or removed.
    const change_log& changes() const
    {
        return changes_;
    }
    /// The revision of the last update of the id, also of a removed entry; 0 if none is known.
    std::uint64_t revision_of(const base::upstream_id& id) const;
    /// All entries, for the state dump and for peers that can't reach the store.
    const std::map<base::upstream_id, upstream>& all() const
    {
        return entries_;
    }

private:
    bool in_grace(base::time_point now) const;
    std::vector<base::upstream_id> apply_deferred_removals(base::time_point now);
    void remove_entry(const base::upstream_id& id, base::time_point now);
    bool is_usable(const upstream& entry) const;
    bool has_announced_leaving(const base::upstream_id& id) const;

    /// The last update of an id. Kept as a tombstone after the entry's removal, until
    /// `tombstone_retention` after its receipt.
    struct entry_update
    {
        std::uint64_t revision = 0;
        /// The latest start of a process that was reported under the id.
        std::chrono::milliseconds process_start{};
        base::time_point received{};
        /// That process announced in an answer that it is shutting down.
        bool announced_leaving = false;
    };

    /// Records the update and returns true if it is newer than the last one; else returns false.
    bool accept_update(const base::upstream_id& id, const update_stamp& stamp);

    directory_options options_;
    std::map<base::upstream_id, upstream> entries_;
    std::map<base::upstream_id, entry_update> last_updates_;
    using leaving_times =
        std::map<base::upstream_id, std::pair<std::chrono::milliseconds, base::time_point>>;
    /// Leaving incarnations by process start, and when they were seen or reported: by this router's
    /// own table, and by peers.
    leaving_times leaving_;
    leaving_times reported_leaving_;
    drained_zones zones_;
    change_log changes_;
    /// The position in `changes_` for which the content hash was computed, and the hash.
    mutable std::pair<std::uint64_t, std::uint64_t> cached_hash_{};
    /// Cached results of usable() since the last change: it is called for each request.
    mutable std::map<base::service_id, std::vector<const upstream*>> usable_cache_;
    /// Entries no longer listed whose removal is deferred.
    std::map<base::upstream_id, bool> deferred_removals_;
    bool store_lost_ = false;
    base::time_point store_lost_since_{};
    base::time_point last_contact_{};
    std::chrono::milliseconds heartbeat_{};
    base::time_point grace_until_{};
};

/// For log lines.
std::string_view name(upstream_directory::removal outcome);

}  // namespace caraway::routing
