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
    /// A longer time to live, from here or from a peer, is cut to this.
    std::chrono::milliseconds max_ttl{std::chrono::minutes(10)};
    /// What one entry takes in a message at most.
    std::size_t bytes_per_entry = 24;
};

/// A small set of (fingerprint, count) that spreads over the fleet by gossip and forgets by itself.
///
/// Copies are merged by the larger count. Two nodes that count up at the same moment lose one of
/// the two, which is why it suits thresholds ("crashed about three upstreams") and nothing exact.
/// A count that expired is remembered for `max_ttl` more: counting up again goes on from there.
class expiring_set
{
public:
    using options = expiring_set_options;

    explicit expiring_set(options limits = {});

    /// Counts one more for `fingerprint`, which is then kept for `ttl`. Returns the new count.
    std::uint32_t count_up(std::uint64_t fingerprint, std::chrono::milliseconds ttl,
                           base::time_point now);
    /// 0 when unknown or expired.
    std::uint32_t count(std::uint64_t fingerprint, base::time_point now) const;

    /// Takes in what a peer sent. True if it brought anything new.
    bool merge(const std::vector<expiring_entry>& entries, base::time_point now);
    /// Entries for the next message, at most `max_bytes` of them; takes turns when not all fit.
    std::vector<expiring_entry> digest(std::size_t max_bytes, base::time_point now);
    std::size_t bytes_per_entry() const
    {
        return options_.bytes_per_entry;
    }
    /// All that have not expired, for the dump of the state.
    std::vector<expiring_entry> entries(base::time_point now) const;

private:
    struct record
    {
        std::uint32_t count = 0;
        base::time_point expiry{};
        /// Until then the count is remembered though expired (see merge).
        base::time_point forget_at{};
    };

    void store(std::uint64_t fingerprint, std::uint32_t count, std::chrono::milliseconds ttl,
               base::time_point now);
    void make_room(base::time_point now);

    options options_;
    std::map<std::uint64_t, record> records_;
    std::uint64_t last_sent_ = 0;
};

}  // namespace caraway::membership
