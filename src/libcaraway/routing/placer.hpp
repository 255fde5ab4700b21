#pragma once

#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/load_board.hpp"
#include "libcaraway/routing/prefill_pace.hpp"
#include "libcaraway/routing/slow_start.hpp"
#include "libcaraway/routing/upstream_directory.hpp"
#include "libcaraway/scheduling/upstream_health.hpp"

#include <limits>
#include <optional>
#include <unordered_map>

namespace caraway::routing
{

struct placement_options
{
    base::zone_id zone;
    /// There and back to another zone: 1 to 3 ms on the deployments' sheets, doubled because the
    /// bytes between zones cost too.
    std::chrono::milliseconds other_zone{6};
    /// By how much one more running request slows an engine's steps, over a short answer.
    std::chrono::microseconds running_request{1500};
    /// Work of one plain call: 15 to 30 ms on the deployments' sheets.
    std::chrono::milliseconds plain_call{20};
    /// Calls a plain upstream may hold for each slot: as work takes a fifth of what is on time, one
    /// may wait behind each that runs.
    double plain_depth = 2;
    /// Part of an engine's memory that is given out; the rest is for outputs longer than expected,
    /// since an engine that runs out reads its newest request again from the start.
    double memory_share = 0.92;
    /// Reading a shared part anew takes its engine's time from all who wait there, and a place in
    /// its memory from another part: it weighs so many times the reading itself.
    double repeat_weight = 3;
    /// A session that doesn't fit its home overflows to the next in line, the same for all routers,
    /// rather than to anywhere: reading its parts anew weighs so much less there.
    double second_home = 0.5;
    /// How much sooner a part has to be there by a transfer than by reading it anew: a transfer
    /// has to be set up, and others may be before it.
    std::chrono::milliseconds least_gain{5};
    /// Up to so many upstreams of a service are all compared for each request; of more, its homes
    /// and so many drawn ones.
    std::size_t all_compared = 256;
    std::size_t drawn = 96;
    /// How long a part that was read is believed to stay in an engine's cache.
    std::chrono::milliseconds part_lifetime{20000};
};

/// A request that looks for an upstream.
struct placement_request
{
    const service* requested_service = nullptr;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    const std::vector<prompt_part>* parts = nullptr;
    /// Upstreams that this request has been sent to.
    std::vector<base::upstream_id> tried;
    /// The longest wait behind other prompts that is accepted at an engine.
    std::chrono::milliseconds max_wait{300};
    /// Part of an engine's slots that it may use: below 1 for work that should give way.
    double slot_share = 1;
    /// Which upstreams are cold; absent: none is.
    slow_start* cold_upstreams = nullptr;
    /// Uniform in [0, 1): which upstreams it is compared with where there are too many.
    double random_unit = 0;
    /// Tokens of shared parts that may be read anew for it.
    std::uint32_t max_repeated_tokens = std::numeric_limits<std::uint32_t>::max();
};

struct placement
{
    upstream target;
    /// What the request adds there.
    upstream_load load;
    /// The engine that hands on the shared parts of the prompt which this one lacks.
    std::optional<upstream> cache_source;
    /// Wait behind the prompts that are before it.
    std::chrono::milliseconds wait{};
    /// Prompt tokens before it.
    std::uint64_t queued_tokens = 0;
    /// Requests believed to run there before it.
    std::uint32_t running = 0;
};

/// Where a request's shared parts are at home, among the candidates by index.
struct prompt_homes
{
    static constexpr std::size_t nowhere = std::numeric_limits<std::size_t>::max();

    /// Each shared part with all before it, and the home of each.
    std::vector<std::uint64_t> shared;
    std::vector<std::size_t> homes;
    /// The next in line for the deepest part.
    std::size_t second = nowhere;

    /// How many shared parts, from the first, the candidate is believed to hold as a home.
    std::size_t depth(std::size_t candidate) const
    {
        for (std::size_t part = homes.size(); part > 0; --part)
        {
            if (homes[part - 1] == candidate)
            {
                return part;
            }
        }
        return 0;
    }
};

/// Chooses the upstream where a request starts soonest, as far as the load board knows: waiting
/// prompts, its own prompt less what a cache is believed to hold, running requests, distance.
///
/// Shared parts of prompts have a home, by rendezvous hashing of the part over the service's
/// upstreams, that all routers agree on without a message. The home is believed to hold the part,
/// so requests of one session meet there as long as its queue is shorter than reading the part
/// anew elsewhere takes; where they went otherwise is remembered.
class placer
{
public:
    explicit placer(placement_options options);

    std::optional<placement> choose(const placement_request& request,
                                    const upstream_directory& directory, const load_board& board,
                                    const scheduling::upstream_health& health,
                                    const prefill_pace& pace, base::time_point now);
    /// The request went there: its shared parts will be in that cache.
    void record_sent(const base::upstream_id& id, const std::vector<prompt_part>& parts,
                     base::time_point now);
    /// Its cache is empty: another process runs there.
    void forget(const base::upstream_id& id)
    {
        read_.erase(id);
    }

private:
    /// An upstream that has room, and what the request meets there.
    struct candidate
    {
        const upstream* target = nullptr;
        upstream_load total;
        double ms_per_token = 0;
        /// Wait behind the prompts that are before it.
        std::chrono::milliseconds wait{};
        /// Tokens that its cache is believed to hold, and shared ones that are to be read anew.
        std::uint32_t cached = 0;
        double repeated = 0;
    };

    using part_times = std::unordered_map<std::uint64_t, base::time_point>;

    std::uint32_t cached_tokens(const base::upstream_id& id, const placement_request& request,
                                const std::vector<std::uint64_t>& chain, std::size_t home_depth,
                                base::time_point now) const;
    /// What each engine may hold after the request is there.
    struct engine_room
    {
        double places = 0;
        std::uint64_t tokens = 0;
    };

    /// What a request is compared by.
    struct search
    {
        const placement_request& request;
        const std::vector<const upstream*>& candidates;
        const load_board& board;
        const scheduling::upstream_health& health;
        const prefill_pace& pace;
        base::time_point now;
        prompt_homes homes;
        std::uint32_t shared = 0;
        engine_room room;
    };

    struct choice
    {
        std::optional<candidate> best;
        double lowest = std::numeric_limits<double>::infinity();
    };

    std::optional<candidate> cheapest(const search& within) const;
    /// Takes it for the choice if it has room and costs less than the one before.
    void consider(const search& within, std::size_t index, choice& found) const;
    engine_room room_for(const placement_request& request) const;
    bool has_room(const upstream& where, const placement_request& request, const engine_room& room,
                  const upstream_load& total) const;
    /// Which engine should hand on the shared parts that the chosen one lacks, if any.
    const upstream* source_for(const candidate& chosen, const upstream* home,
                               const placement_request& request, std::uint32_t missing,
                               const scheduling::upstream_health& health,
                               base::time_point now) const;
    double cost(const candidate& of, const placement_request& request) const;
    placement placed_at(const candidate& of, const placement_request& request) const;

    placement_options options_;
    std::unordered_map<base::upstream_id, part_times> read_;
};

}  // namespace caraway::routing
