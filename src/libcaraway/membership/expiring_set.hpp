#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace caraway::membership
{

struct expiring_set_options
{
    std::size_t max_entries = 256;
    /// Upper bound for every time to live, local or received from a peer.
    std::chrono::milliseconds max_ttl{std::chrono::minutes(10)};
    /// Upper bound of the encoded size of one entry, in bytes.
    std::size_t bytes_per_entry = 24;
};

/// A small set of (fingerprint, count) pairs with a time to live, replicated to the fleet by
/// gossip.
///
/// Copies are merged by taking the larger count. If two nodes increment the same count at the same
/// time, one of the increments is lost; the set therefore suits thresholds ("crashed about three
/// upstreams") but no exact counts. An expired count is remembered for another `max_ttl`, and a
/// later increment continues from the remembered count.
class expiring_set
{
public:
    using options = expiring_set_options;

    explicit expiring_set(options limits = {});

    /// Increments the count of `fingerprint` and sets its time to live to `ttl`. Returns the new
    /// count.
    std::uint32_t increment(std::uint64_t fingerprint, std::chrono::milliseconds ttl,
                            base::time_point now);
    /// 0 if the fingerprint is unknown or expired.
    std::uint32_t count(std::uint64_t fingerprint, base::time_point now) const;

    /// Merges entries received from a peer. True if any of the entries changed the set.
    bool merge(const std::vector<expiring_entry>& entries, base::time_point now);
    /// Entries for the next message, at most `max_bytes` in total. If not all entries fit,
    /// successive calls cycle through them.
    std::vector<expiring_entry> next_batch(std::size_t max_bytes, base::time_point now);
    std::size_t bytes_per_entry() const
    {
        return options_.bytes_per_entry;
    }
    /// All entries that have not expired, for the state dump.
    std::vector<expiring_entry> entries(base::time_point now) const;

private:
    struct record
    {
        std::uint32_t count = 0;
        base::time_point expiry{};
        /// The expired count is remembered until this time (see merge()).
        base::time_point discard_at{};
    };

    void store(std::uint64_t fingerprint, std::uint32_t count, std::chrono::milliseconds ttl,
               base::time_point now);
    void evict(base::time_point now);

    options options_;
    std::map<std::uint64_t, record> records_;
    std::uint64_t last_sent_ = 0;
};

}  // namespace caraway::membership
