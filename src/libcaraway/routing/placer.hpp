#pragma once

#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/engines/engine_view.hpp"
#include "libcaraway/routing/engines/load_tracker.hpp"
#include "libcaraway/routing/engines/slow_start.hpp"
#include "libcaraway/routing/parts/part_copies.hpp"
#include "libcaraway/routing/parts/part_homes.hpp"
#include "libcaraway/routing/upstream_directory.hpp"
#include "libcaraway/scheduling/upstream_health.hpp"

#include <limits>
#include <optional>

namespace caraway::routing
{

struct placement_options
{
    /// Zone of this router.
    base::zone_id zone;
    /// Cost of an upstream in another zone. The round trip takes 1 to 3 ms according to the
    /// deployments' specifications; doubled, because traffic between zones is also charged.
    std::chrono::milliseconds cross_zone_cost{6};
    /// Calls in flight per slot of a plain upstream. The work of a call takes a fifth of its
    /// latency target, so one call may wait behind each running one.
    double plain_calls_per_slot = 2;
    /// Cost factor for prefilling a shared part again, relative to the prefill time itself: the
    /// prefill delays all requests queued at the engine, and evicts another part from its cache.
    double repeat_cost_factor = 3;
    /// Factor on the repeated tokens of a prompt at its second home. A session that does not fit
    /// its home thus overflows to one upstream, the same for all routers, instead of to any.
    double second_home_factor = 0.5;
    /// Minimum time that a transfer of shared parts has to save compared to prefilling them: a
    /// transfer has to be set up, and may be queued behind others.
    std::chrono::milliseconds min_transfer_gain{5};
    /// A service with at most this many upstreams has all of them compared for each request. Of
    /// larger services, the homes of the request and `sample_size` others are compared.
    std::size_t max_full_scan = 256;
    std::size_t sample_size = 96;
    parts::part_home_options homes;
    parts::part_copy_options copies;
};

/// A request to be placed, and the limits that apply to it.
struct placement_request
{
    const service* requested_service = nullptr;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// Parts of the prompt in order. All but the last may be shared with other requests.
    const std::vector<prompt_part>* parts = nullptr;
    /// Upstreams that the request was sent to before; they are not chosen again.
    std::vector<base::upstream_id> tried;
    /// The only software version that may get the request; any may if it is empty.
    std::optional<base::software_version> software;
    /// Maximum time queued behind the prefill of other prompts; an engine without running requests
    /// is accepted in any case.
    std::chrono::milliseconds max_wait{300};
    /// Fraction of an engine's slots that the request may use: below 1 for requests beyond their
    /// workspace's share, so that slots stay free for others.
    double slot_share = 1;
    /// Cold upstreams, which accept a limited rate; null: no upstream is cold.
    engines::slow_start* cold_upstreams = nullptr;
    /// Uniform in [0, 1): selects the upstreams compared in services larger than `max_full_scan`.
    double random_unit = 0;
    /// Maximum number of tokens of shared parts that may be prefilled again for the request, except
    /// at its second home.
    std::uint32_t max_repeated_tokens = std::numeric_limits<std::uint32_t>::max();

    bool was_tried(const base::upstream_id& id) const;
};

/// Why an upstream is assumed to have the shared parts of a prompt, or a part of them.
enum class held_copy
{
    /// The prompt has no shared parts.
    no_parts,
    /// It is the first home of the last shared part.
    home,
    /// It is another home of a hot part.
    further_copy,
    /// Requests overflow to it from the homes.
    overflow,
    /// This router sent it the parts before.
    sent_before,
    /// It isn't assumed to have all of them.
    none,
};

/// The name of the copy in log lines.
const char* name(held_copy copy);

/// Why a request is sent to an upstream in another zone than the router's.
enum class zone_choice
{
    own_zone,
    /// The upstream is assumed to have the prompt's shared parts.
    holds_parts,
    /// Those in the router's zone are busier, have no room, or aren't there.
    less_busy,
};

/// The name of the choice in log lines and metrics.
const char* name(zone_choice choice);

struct placement
{
    upstream target;
    zone_choice zone = zone_choice::own_zone;
    held_copy copy = held_copy::no_parts;
    /// Peers should learn that the target holds the shared parts.
    bool is_new_copy = false;
    /// Tokens of the prompt's shared parts, and those that the target is assumed to have.
    std::uint32_t shared_tokens = 0;
    std::uint32_t cached_tokens = 0;
    /// Load that the request adds to the target.
    engines::upstream_load load;
    /// Engine from which the target should fetch the shared parts of the prompt that it lacks.
    std::optional<upstream> cache_source;
    /// Estimated time queued behind the prefill of other prompts.
    std::chrono::milliseconds wait{};
    /// Prompt tokens queued at the target before the request.
    std::uint64_t queued_tokens = 0;
    /// Requests known to run at the target before this one.
    std::uint32_t running = 0;
};

/// Chooses the upstream with the lowest estimated latency for a request. The estimate is made of
/// the prefill queued at the upstream, the uncached part of the request's own prompt, the requests
/// running there, and the network distance.
///
/// Each shared part of a prompt has a home: the upstream selected by rendezvous hashing of the part
/// over the upstreams of the service, on which all routers agree without messages. The home is
/// assumed to have the part cached, so requests of one session are sent there as long as its queue
/// takes less time than prefilling the part elsewhere. Other upstreams that a part was sent to are
/// recorded.
class placer
{
public:
    explicit placer(placement_options options);

    /// Returns the best upstream and the load that the request adds to it, or nothing if no
    /// upstream has room for the request.
    std::optional<placement> choose(const placement_request& request,
                                    const upstream_directory& directory,
                                    const engines::load_tracker& board,
                                    const scheduling::upstream_health& health,
                                    const engines::engine_view& engines, base::time_point now);
    /// Records that a request of the workspace with these parts was sent to the upstream, which
    /// will have its shared parts cached. `is_new_copy`: peers should learn of it.
    void record_sent(const base::upstream_id& id, const std::vector<prompt_part>& prompt,
                     const base::workspace_id& workspace, base::time_point now,
                     bool is_new_copy = false);
    /// The homes of shared parts, and how much these are used.
    parts::part_homes& homes()
    {
        return homes_;
    }
    /// Upstreams that hold shared parts besides the parts' homes.
    parts::part_copies& copies()
    {
        return copies_;
    }
    /// Drops what is recorded of the cache of an upstream, after its process was replaced.
    void forget(const base::upstream_id& id);

private:
    /// An upstream that has room for the request, with the estimates that its cost is made of.
    struct candidate
    {
        const upstream* target = nullptr;
        /// Load from all routers.
        engines::upstream_load total;
        engines::upstream_estimate estimate;
        /// Estimated time queued behind the prefill of other prompts.
        std::chrono::milliseconds wait{};
        /// Prompt tokens assumed to be cached.
        std::uint32_t cached = 0;
        /// Tokens of shared parts to be prefilled again, reduced at the second home.
        double repeated = 0;
    };

    std::uint32_t cached_tokens(const upstream& target, const placement_request& request,
                                const std::vector<std::uint64_t>& prefixes, std::size_t home_depth,
                                base::time_point now) const;
    /// Inputs of one choice, which are the same for all candidates.
    struct search_context
    {
        const placement_request& request;
        const std::vector<const upstream*>& candidates;
        const engines::load_tracker& board;
        const scheduling::upstream_health& health;
        const engines::engine_view& engines;
        base::time_point now;
        parts::prompt_homes homes;
        /// Tokens of all shared parts.
        std::uint32_t shared = 0;
    };

    struct search_result
    {
        std::optional<candidate> best;
        double lowest_cost = std::numeric_limits<double>::infinity();
    };

    std::optional<candidate> cheapest(const search_context& context) const;
    /// Makes the candidate the best one if it has room and costs less than the best so far.
    void consider(const search_context& context, std::size_t index, search_result& result) const;
    bool has_room(const search_context& context, const upstream& target,
                  const engines::known_load& load) const;
    zone_choice zone_choice_of(const placement& chosen) const;
    static held_copy copy_at(const search_context& context, const candidate& chosen);
    /// Returns the engine that should transfer the shared parts that the chosen one lacks, or null
    /// if prefilling them is about as fast or no engine can transfer them.
    const upstream* find_cache_source(const search_context& context, const candidate& chosen) const;
    bool is_worth_copying(const candidate& chosen, std::uint32_t shared) const;
    /// Upstreams that are known to have read the last shared part.
    std::vector<const upstream*> known_holders(const search_context& context,
                                               const candidate& chosen) const;
    /// The homes of the last shared part before the chosen upstream; all if it is none.
    std::vector<const upstream*> earlier_homes(const search_context& context,
                                               const candidate& chosen) const;
    /// Tokens of shared parts that the chosen upstream may lack.
    std::uint32_t possibly_missing(const search_context& context, const candidate& chosen) const;
    bool may_hold(const search_context& context, const upstream& source,
                  const upstream& chosen) const;
    double cost(const candidate& rated, const placement_request& request) const;
    placement make_placement(const candidate& chosen, const placement_request& request) const;

    placement_options options_;
    parts::part_homes homes_;
    parts::part_copies copies_;
};

}  // namespace caraway::routing
