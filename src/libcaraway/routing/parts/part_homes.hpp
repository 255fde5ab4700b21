#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/parts/part_heat.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <functional>
#include <limits>
#include <unordered_map>
#include <vector>

namespace caraway::routing::parts
{

/// The homes of a prompt's shared parts, as indices into the candidates.
struct prompt_homes
{
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    /// Hash of each shared part with all parts before it, and the first home of each.
    std::vector<std::uint64_t> prefixes;
    std::vector<std::size_t> homes;
    /// Homes of the last shared part beside the first one, in order; empty unless it is hot.
    std::vector<std::size_t> copies;
    /// Upstreams that requests should overflow to from the homes of the last shared part, the
    /// preferred one first.
    std::vector<std::size_t> further_homes;

    /// Number of shared parts, from the first, that the candidate should have cached as their home.
    std::size_t depth(std::size_t candidate) const;
    /// Whether the candidate is one of the homes of the last shared part beside the first one.
    bool is_copy(std::size_t candidate) const;
    /// Whether the candidate is one of the further homes.
    bool is_further_home(std::size_t candidate) const;
};

/// Hash of each part with all parts before it. A cached part can only be used for a prompt with the
/// same parts before it.
std::vector<std::uint64_t> prefix_hashes(const std::vector<prompt_part>& parts);
/// The same of the shared parts only: all but the last.
std::vector<std::uint64_t> shared_prefix_hashes(const std::vector<prompt_part>& parts);

struct part_home_options
{
    part_heat_options heat;
    /// Fraction of an engine's slots that the requests of one part may take before the part gets
    /// another home: an engine is the home of many parts.
    double max_fill = 0.25;
    /// A part keeps its homes until its load is below this fraction of the load that it got them
    /// for, so that noise in the counts does not move homes.
    double shrink_ratio = 0.6;
    /// How long a part that isn't used keeps the load that it got its homes for.
    std::chrono::milliseconds load_lifetime{5000};
    /// Parts with several homes.
    std::size_t max_hot_parts = 64;
    /// Mean time that a request takes a slot, as far as nothing is known of its kind, and the
    /// number of requests that this counts as.
    std::chrono::milliseconds initial_duration{1000};
    double initial_duration_weight = 4;
    /// Time after which the duration of a request counts half.
    std::chrono::milliseconds duration_half_life{10000};
    /// Longest duration counted of one request.
    std::chrono::milliseconds max_duration{30000};
    /// Kinds of requests whose durations are known; kinds are told apart by their first part.
    std::size_t max_kinds = 64;
    /// How long the throughputs of a service's upstreams are used before they are looked up again.
    std::chrono::milliseconds weight_lifetime{1000};
};

/// Chooses the upstreams that hold the shared parts of prompts.
///
/// Each part orders the upstreams of the service by weighted rendezvous hashing, on which all
/// routers agree without messages; weights are the upstreams' relative throughputs, rounded. The
/// first is the part's home. A part whose requests would take too much of its home has as many
/// homes as its load needs, in this order, so that routers whose counts differ agree on all but the
/// last ones.
class part_homes
{
public:
    /// Returns the relative throughput of an upstream; see engines::engine_view.
    using throughput_lookup = std::function<double(const base::upstream_id&)>;

    struct query
    {
        /// Null: a request without parts.
        const std::vector<prompt_part>* prompt = nullptr;
        const std::vector<const upstream*>& candidates;
        const throughput_lookup& relative_throughput;
        /// Requests that an engine of the service processes at the same time.
        std::uint32_t slots = 1;
        /// A hot part has a home in this zone.
        base::zone_id zone{};
        /// Whether reading the shared parts takes so long that several engines should hold them.
        bool worth_copies = true;
    };

    explicit part_homes(const part_home_options& options = {});

    /// The homes of the prompt's shared parts; none if it has no shared part.
    prompt_homes find(const query& asked, base::time_point now);

    /// Records that a request with these shared parts was placed by this router.
    void record_use(const std::vector<std::uint64_t>& prefixes, const base::workspace_id& workspace,
                    base::time_point now);
    /// Records how long a request with these parts took a slot.
    void record_duration(const std::vector<prompt_part>& prompt, base::duration duration,
                         base::time_point now);

    part_heat& heat()
    {
        return heat_;
    }
    /// Drops what has expired; called about once a second.
    void expire(base::time_point now);

private:
    /// Decaying sum of the durations of one kind of request.
    struct duration_sum
    {
        double seconds = 0;
        double requests = 0;
        base::time_point updated{};
    };
    struct held_load
    {
        double slots = 0;
        base::time_point used{};
    };
    /// Weights of the upstreams of one service that differ from 1, by the upstream's hash.
    struct service_weights
    {
        std::unordered_map<std::uint64_t, double> uneven;
        base::time_point looked_up{};
    };

    std::vector<double> weights_of(const query& asked, base::time_point now);
    double mean_seconds(std::uint64_t kind, base::time_point now) const;
    /// Slots that the requests of a part take at all upstreams, with hysteresis.
    double load_of(std::uint64_t part, std::uint64_t kind, double slots_per_home,
                   base::time_point now);
    void add_copies(const query& asked, const std::vector<double>& weights, double load,
                    prompt_homes& out) const;

    part_home_options options_;
    part_heat heat_;
    std::unordered_map<std::uint64_t, duration_sum> durations_;
    std::unordered_map<std::uint64_t, held_load> held_;
    std::unordered_map<base::service_id, service_weights> weights_;
};

}  // namespace caraway::routing::parts
