#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace caraway::routing
{

/// What one upstream holds.
struct upstream_load
{
    /// Requests sent and not ended.
    std::uint32_t running = 0;
    /// Prompt tokens of requests that have shown no first event, as far as no cache is believed to
    /// hold them.
    std::uint64_t pending_prefill_tokens = 0;
    /// Prompt and expected output of all that run.
    std::uint64_t held_tokens = 0;

    upstream_load& operator+=(const upstream_load& other);
    upstream_load& operator-=(const upstream_load& other);
    friend bool operator==(const upstream_load&, const upstream_load&) = default;
};

using upstream_loads = std::map<base::upstream_id, upstream_load>;

struct load_options
{
    /// How long a silent router's share is believed: the upstreams drop a dead router's requests
    /// when its connections end, and a cut one's run on for a while.
    std::chrono::milliseconds peer_lifetime{1500};
};

/// What each upstream holds of the whole fleet: this router's own requests exactly, the other
/// routers' by their latest digests. The upstreams' own reports aren't asked: they are older than
/// the digests, and each question costs.
class load_tracker
{
public:
    explicit load_tracker(load_options options = {});

    void record_start(const base::upstream_id& id, const upstream_load& of);
    /// Its first event came: its prompt is read.
    void record_prefill_done(const base::upstream_id& id, std::uint64_t unread_tokens);
    void record_end(const base::upstream_id& id, const upstream_load& of);

    void set_peer(const base::node_id& peer, upstream_loads loads, base::time_point now);
    /// `lifetime` if digests come so rarely that the usual one would drop living peers.
    void expire_peers(base::time_point now, std::chrono::milliseconds lifetime = {});

    /// This router's, for its digest.
    upstream_loads own_loads() const;
    upstream_load total(const base::upstream_id& id) const;
    std::uint32_t own_running(const base::upstream_id& id) const;

private:
    struct peer_loads
    {
        upstream_loads loads;
        base::time_point heard{};
    };

    struct known_load
    {
        upstream_load own;
        /// Of all peers.
        upstream_load others;
    };

    void forget_if_empty(const base::upstream_id& id);

    load_options options_;
    /// One look-up for each upstream that a request considers.
    std::unordered_map<base::upstream_id, known_load> loads_;
    std::map<base::node_id, peer_loads> peers_;
};

}  // namespace caraway::routing
