#pragma once

#include "libcaraway/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace caraway::routing::returns
{

/// Hash by which any router recognises a request that its caller sends again. With a few thousand
/// requests recorded, about one fresh request in a million matches one of them by chance and is
/// taken for resubmitted.
enum class request_fingerprint : std::uint32_t
{
};

struct refused_options
{
    /// Time for which a refusal is remembered. Callers wait for at most a third of their deadline
    /// before they retry: 5 s for the longest deadline in the deployments' sheets (15 s), plus a
    /// margin for transmission.
    std::chrono::milliseconds lifetime{6000};
    /// Entries in one digest, 5 bytes each; the newest ones are sent.
    std::size_t max_digest_entries = 96;
};

/// Requests that were recently refused by this router or a peer, by which resubmitted requests are
/// recognised. Latency counts from a caller's first attempt, so a resubmitted request is late
/// before it starts. Where a workspace demands more than its share, serving a resubmitted request
/// takes the slot of a fresh one that would have been on time. Nothing else that callers send lets
/// a flooded router tell the two apart.
class refused_requests
{
public:
    explicit refused_requests(refused_options options = {});

    /// Records a refusal by this router.
    void add(request_fingerprint fingerprint, base::time_point now);
    /// Returns whether the request was refused before, by this router or by a peer whose digest
    /// listed it.
    bool contains(request_fingerprint fingerprint, base::time_point now) const;

    /// Returns the requests that this router refused within the last `max_age`, newest first, for
    /// its digest.
    std::vector<request_fingerprint> recent_own(std::chrono::milliseconds max_age,
                                                base::time_point now) const;
    /// Records refusals listed in a peer's digest.
    void merge(const std::vector<request_fingerprint>& fingerprints, base::time_point now);

    std::size_t size() const
    {
        return recorded_at_.size();
    }

private:
    struct entry
    {
        request_fingerprint fingerprint;
        base::time_point recorded_at;
        bool own = false;
    };

    void insert(const entry& refusal);
    void expire(base::time_point now);

    refused_options options_;
    std::unordered_map<request_fingerprint, base::time_point> recorded_at_;
    /// In order of expiry.
    std::deque<entry> by_expiry_;
};

}  // namespace caraway::routing::returns
