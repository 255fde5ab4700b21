#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace caraway::routing::engines
{

/// Load of one upstream.
struct upstream_load
{
    /// Requests that were sent and have not ended.
    std::uint32_t running = 0;
    /// Prompt tokens of the running requests without a first event, without those tokens that the
    /// upstream's cache is assumed to hold.
    std::uint64_t pending_prefill_tokens = 0;
    /// Prompt and expected output tokens of all running requests.
    std::uint64_t held_tokens = 0;

    upstream_load& operator+=(const upstream_load& other);
    upstream_load& operator-=(const upstream_load& other);
    friend bool operator==(const upstream_load&, const upstream_load&) = default;
};

using upstream_loads = std::map<base::upstream_id, upstream_load>;

/// What a router knows of the load of one upstream.
struct known_load
{
    /// This router's requests, and the sum over all peers.
    upstream_load own;
    upstream_load peers;
    /// This router's held tokens as of its last digest, and as of a digest period before that.
    std::uint64_t told_tokens = 0;
    std::uint64_t told_before_tokens = 0;
    /// Growth of the peers' held tokens in this and the last second, without what ended meanwhile.
    double growth = 0;
    double last_growth = 0;

    upstream_load total() const;
    /// Tokens of this router's requests that peers may know of.
    std::uint64_t known_to_peers() const
    {
        return std::min({own.held_tokens, told_tokens, told_before_tokens});
    }
    /// Tokens per second by which the peers' load grew.
    double growth_per_second() const
    {
        return std::max(growth, last_growth);
    }
};

struct load_options
{
    /// Time since its last digest after which a router's load is no longer counted. Upstreams
    /// cancel the requests of a crashed router when its connections close; those of a router cut
    /// off by the network run on for a while.
    std::chrono::milliseconds peer_lifetime{1500};
};

/// The load that the whole fleet puts on each upstream: this router's own requests exactly, the
/// other routers' requests as of their latest digests. The upstreams' own load reports are not
/// used: they are older than the digests, and each query has a cost.
class load_tracker
{
public:
    explicit load_tracker(load_options options = {});

    void record_start(const base::upstream_id& id, const upstream_load& load);
    /// Records the first event of a request, after which its prompt needs no more prefill.
    void record_prefill_done(const base::upstream_id& id, std::uint64_t pending_prefill_tokens);
    void record_end(const base::upstream_id& id, const upstream_load& load);

    void set_peer(const base::node_id& peer, upstream_loads loads, base::time_point now);
    /// Drops the load of peers without a recent digest. A `lifetime` above the configured one is
    /// used instead, for digests so rare that the configured one would drop live peers.
    void expire_peers(base::time_point now, std::chrono::milliseconds lifetime = {});

    /// The load of this router's requests, for its digest.
    upstream_loads own_loads() const;
    /// Notes that the own load was told to peers, of which each hears at least once in a
    /// `digest_period`.
    void record_told(std::chrono::milliseconds digest_period, base::time_point now);
    const known_load& load_of(const base::upstream_id& id) const;
    /// Tokens held by the requests of each peer, and by this router's own.
    std::map<base::node_id, std::uint64_t> held_by_peers() const;
    std::uint64_t own_held_tokens() const;
    upstream_load total(const base::upstream_id& id) const;
    std::uint32_t own_running(const base::upstream_id& id) const;

private:
    struct peer_loads
    {
        upstream_loads loads;
        base::time_point received{};
    };

    void erase_if_idle(const base::upstream_id& id);
    void start_growth_period(base::time_point now);

    load_options options_;
    /// Holds own and peer load together, so that each upstream considered for a request takes one
    /// look-up.
    std::unordered_map<base::upstream_id, known_load> loads_;
    std::map<base::node_id, peer_loads> peers_;
    base::time_point growth_period_start_{};
    base::time_point told_period_start_{};
};

}  // namespace caraway::routing::engines
