#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <functional>
#include <limits>
#include <vector>

namespace caraway::routing::parts
{

/// The homes of a prompt's shared parts, as indices into the candidates.
struct prompt_homes
{
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    /// Hash of each shared part with all parts before it, and the home of each.
    std::vector<std::uint64_t> prefixes;
    std::vector<std::size_t> homes;
    /// Further homes of the last shared part, the preferred one first.
    std::vector<std::size_t> further_homes;

    /// Number of shared parts, from the first, that the candidate should have cached as their home.
    std::size_t depth(std::size_t candidate) const;
    /// Whether the candidate is one of the further homes.
    bool is_further_home(std::size_t candidate) const;
};

/// Hash of each part with all parts before it. A cached part can only be used for a prompt with the
/// same parts before it.
std::vector<std::uint64_t> prefix_hashes(const std::vector<prompt_part>& parts);

/// Chooses the upstreams that hold the shared parts of prompts: by rendezvous hashing of a part
/// over the upstreams of the service, on which all routers agree without messages.
class part_homes
{
public:
    /// Returns the relative throughput of an upstream; see engines::engine_view.
    using throughput_lookup = std::function<double(const base::upstream_id&)>;

    /// The homes of the prompt's shared parts; none if `prompt` is null or has no shared part.
    prompt_homes find(const std::vector<prompt_part>* prompt,
                      const std::vector<const upstream*>& candidates,
                      const throughput_lookup& relative_throughput, base::time_point now) const;

    /// Records that a request with these parts was placed by this router.
    void record_use(const std::vector<prompt_part>& prompt, base::time_point now);
};

}  // namespace caraway::routing::parts
