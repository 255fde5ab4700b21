#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/parts/part_rate.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caraway::routing::parts
{

struct part_copy_options
{
    /// How long a part is assumed to stay in an engine's cache after a request that contains it.
    std::chrono::milliseconds lifetime{20000};
    /// Time after a request was sent by which its engine has usually read the prompt.
    std::chrono::milliseconds read_time{250};
    /// Parts recorded per upstream; the cache of an engine holds fewer.
    std::size_t max_parts = 2048;
    std::size_t max_upstreams = 4096;
    /// Copies in one digest, of some 20 bytes each: the newest.
    std::size_t max_sent = 16;
    /// Copies accepted from one digest.
    std::size_t max_received = 64;
};

/// Which upstreams hold which shared parts, besides the parts' homes, as far as requests of this
/// router and its peers show. Upstreams are named by their hash; see upstream.
class part_copies
{
public:
    explicit part_copies(const part_copy_options& options = {});

    /// Records that a request with these shared parts was sent to the upstream.
    void record_sent(std::uint64_t upstream, const std::vector<std::uint64_t>& prefixes,
                     base::time_point now);
    /// Has the next digests tell peers that the upstream holds the part.
    void announce(std::uint64_t upstream, std::uint64_t prefix, base::time_point now);
    /// Copies announced within the last `period`, for a digest.
    std::vector<part_rate> announced(base::duration period, base::time_point now);
    /// Records the copies that a peer announced.
    void merge(const std::vector<part_rate>& received, base::time_point now);

    /// Whether a request with the part was sent to the upstream within the part's lifetime there.
    bool holds(std::uint64_t upstream, std::uint64_t prefix, base::time_point now) const;
    /// The same, so long ago that the upstream has read the part.
    bool has_read(std::uint64_t upstream, std::uint64_t prefix, base::time_point now) const;
    /// Number of prefixes, from the first, that the upstream holds.
    std::size_t depth(std::uint64_t upstream, const std::vector<std::uint64_t>& prefixes,
                      base::time_point now) const;
    /// Drops what is recorded of an upstream, after its process was replaced.
    void forget(std::uint64_t upstream);

private:
    struct use_times
    {
        base::time_point first{};
        base::time_point last{};
    };
    using part_times = std::unordered_map<std::uint64_t, use_times>;
    struct announcement
    {
        part_rate copy;
        base::time_point at{};
    };

    void record(std::uint64_t upstream, std::uint64_t prefix, base::time_point now);
    void add_use(part_times& uses, std::uint64_t prefix, base::time_point now) const;
    const use_times* find(std::uint64_t upstream, std::uint64_t prefix, base::time_point now) const;
    bool is_current(const use_times& times, base::time_point now) const;

    part_copy_options options_;
    std::unordered_map<std::uint64_t, part_times> upstreams_;
    std::vector<announcement> announced_;
};

}  // namespace caraway::routing::parts
