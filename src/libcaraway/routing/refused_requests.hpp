#pragma once

#include "libcaraway/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace caraway::routing
{

/// By which a request is known again when its caller sends it once more, at whichever router. Two
/// of some thousand requests look alike once in a million; then one is taken for returned.
enum class request_fingerprint : std::uint32_t
{
};

struct refused_options
{
    /// Callers wait for a third of their time at most before they come back: 5 s of the longest
    /// deadline on the deployments' sheets (15 s), and a little for the way.
    std::chrono::milliseconds lifetime{6000};
    /// Entries in one digest, 5 bytes each; the newest are told.
    std::size_t max_digest_entries = 96;
};

/// Requests that were refused lately, here or at a peer, so that one that comes back is known. Time
/// runs from a caller's first try, so what comes back is late before it begins: where a workspace
/// asks more than its share, serving it costs a fresh request that would have been on time. A
/// flooded router can't tell the two apart by anything that callers send.
class refused_requests
{
public:
    explicit refused_requests(refused_options options = {});

    /// Refused by this router.
    void add(request_fingerprint request, base::time_point now);
    /// Whether it was refused before, at a router that told of it.
    bool contains(request_fingerprint request, base::time_point now) const;

    /// What this router refused in the last `span`, newest first, for its digest.
    std::vector<request_fingerprint> recent_own(std::chrono::milliseconds span,
                                                base::time_point now) const;
    void merge(const std::vector<request_fingerprint>& others, base::time_point now);

    std::size_t size() const
    {
        return known_.size();
    }

private:
    struct entry
    {
        request_fingerprint request;
        base::time_point when;
        bool own = false;
    };

    void remember(const entry& what);
    void expire(base::time_point now);

    refused_options options_;
    std::unordered_map<request_fingerprint, base::time_point> known_;
    /// In the order in which they lapse.
    std::deque<entry> order_;
};

}  // namespace caraway::routing
