#pragma once

#include "libcaraway/routing/engines/load_tracker.hpp"
#include "libcaraway/routing/placer.hpp"
#include "libcaraway/scheduling/upstream_health.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A fleet of routers' decisions and model engines on a virtual clock, without network: routers see
/// each other's load and use of parts half a second late.
namespace caraway::hot_parts
{

using std::chrono::milliseconds;

struct model_options
{
    std::size_t routers = 16;
    std::size_t engines = 90;
    std::size_t zones = 4;
    std::uint32_t slots = 24;
    double prefill_ms_per_token = 1 / 57.0;
    double output_ms_per_token = 5;
    /// Repeated over the engines.
    std::vector<double> speeds{0.55, 1.2, 1.2, 1.2};
    /// 0: engines can't transfer parts.
    double transfer_ms_per_token = 0.0003;
    milliseconds view_age{500};
    /// Whether routers tell each other of copies.
    bool tells_copies = true;
    milliseconds max_queue_time{500};
    milliseconds max_wait{600};
    milliseconds target{1000};
    routing::placement_options placement{};
    unsigned seed = 1;
};

struct model_request
{
    std::vector<routing::prompt_part> parts;
    std::uint32_t output_tokens = 100;
};

struct model_result
{
    std::size_t asked = 0;
    std::size_t refused = 0;
    std::size_t late = 0;
    std::size_t other_zone = 0;
    std::uint64_t read_again = 0;
    std::uint64_t moved = 0;
    /// Tokens read again, by which copy the router chose and whether the source held it.
    std::map<std::string, std::uint64_t> causes;
    std::map<std::string, std::size_t> most_fetches_of_source;
    std::vector<std::size_t> arrivals;

    double on_time() const;
    /// Most arrivals at one engine, relative to the mean.
    double busiest() const;
};

class fleet_model
{
public:
    explicit fleet_model(const model_options& options);

    /// Sends a request through a random router of the zone.
    void send(std::size_t zone, model_request request);
    /// Advances the clock.
    void run(milliseconds duration);
    /// Removes an engine or a whole zone's engines; their running requests are lost.
    void remove_engine(std::size_t index);
    void remove_zone(std::size_t zone);

    base::time_point now() const
    {
        return now_;
    }
    /// Engines that were sent a request with this last shared part since `since`.
    std::size_t holders(const std::vector<routing::prompt_part>& parts,
                        base::time_point since) const;

    model_result result;

private:
    struct engine
    {
        base::upstream_id id;
        std::size_t zone = 0;
        double speed = 1;
        bool lost = false;
        base::time_point read_until{};
        std::priority_queue<base::time_point, std::vector<base::time_point>, std::greater<>> ends;
        std::map<std::uint64_t, base::time_point> kept;
    };
    struct waiting
    {
        model_request request;
        base::time_point arrived;
    };
    struct router
    {
        explicit router(routing::placement_options options) : placer(std::move(options)) {}

        base::node_id id;
        std::size_t zone = 0;
        routing::placer placer;
        routing::engines::load_tracker loads;
        routing::engines::engine_view engines;
        std::vector<waiting> queue;
    };
    struct event
    {
        base::time_point at;
        std::uint64_t order = 0;
        std::function<void()> act;

        bool operator>(const event& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(base::time_point at, std::function<void()> act);
    bool place(router& from, const waiting& asked);
    void carry_out(router& from, const waiting& asked, const routing::placement& chosen);
    std::uint32_t tokens_to_read(engine& target, const model_request& request,
                                 const engine* source);
    void exchange_views();
    double random_unit();

    model_options options_;
    std::mt19937_64 random_;
    base::time_point now_{std::chrono::hours(1)};
    routing::service service_;
    routing::upstream_directory directory_;
    scheduling::scheduler_options health_options_;
    scheduling::upstream_health health_{health_options_};
    std::vector<engine> engines_;
    std::map<base::upstream_id, std::size_t> index_of_;
    std::vector<std::unique_ptr<router>> routers_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t next_order_ = 0;
    base::time_point next_exchange_{};
    std::set<std::uint64_t> read_once_;
    /// By part: when each engine was last sent it.
    std::map<std::uint64_t, std::map<std::size_t, base::time_point>> sent_;
};

}  // namespace caraway::hot_parts
