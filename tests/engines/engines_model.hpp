#pragma once

#include "libcaraway/routing/placer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace caraway::tests
{

/// Upstreams of one service, shared by routers that place by the real decisions, in virtual time.
struct engines_model_options
{
    int routers = 8;
    int upstreams = 90;
    /// Plain upstreams answer calls of `call_time`; engines read prompts and generate events.
    bool are_engines = true;
    std::uint32_t slots = 24;
    double requests_per_second = 400;
    std::uint32_t prompt_tokens = 2000;
    std::uint32_t events = 40;
    std::chrono::milliseconds call_time{30};
    std::chrono::milliseconds digest_period{100};
    std::uint64_t seed = 1;
    /// Whether routers learn from ended requests more than the time to read prompts.
    bool learn_pace = true;
};

class engines_model
{
public:
    explicit engines_model(engines_model_options options);

    /// Speed of each upstream, relative to the usual one.
    std::vector<double> speeds;
    /// Requests placed at each upstream, and those that found no place.
    std::vector<int> arrivals;
    int unplaced = 0;

    void run(std::chrono::milliseconds time);
    void restart(int upstream);
    /// Largest ratio of an upstream's arrivals to those that its speed earns it.
    double largest_excess() const;
    const routing::engines::engine_view& view(int router) const
    {
        return routers_[router]->engines;
    }
    static base::upstream_id id(int upstream);

private:
    struct job
    {
        int router = 0;
        routing::placement placed;
        base::time_point sent{};
        std::optional<base::time_point> first_event;
        double unread_tokens = 0;
        /// Generated tokens, or time served of a call in ms.
        double progress = 0;
    };
    struct router_state
    {
        routing::engines::load_tracker loads;
        routing::engines::engine_view engines;
        std::unique_ptr<routing::placer> selector;
    };

    void step();
    void arrive();
    /// Works for 10 ms on what is at an upstream.
    void serve(int upstream);
    void serve_calls(std::vector<job>& jobs, double ms) const;
    void serve_streams(std::vector<job>& jobs, double ms);
    void record_first_event(job& begun);
    void end_jobs(int upstream);
    void send_digests();

    engines_model_options options_;
    routing::service service_;
    routing::upstream_directory directory_;
    scheduling::scheduler_options health_options_;
    scheduling::upstream_health health_{health_options_};
    std::vector<std::unique_ptr<router_state>> routers_;
    std::vector<std::vector<job>> jobs_;
    std::mt19937_64 random_;
    base::time_point now_{std::chrono::hours(1)};
    base::time_point next_digests_ = now_;
    base::time_point next_refresh_ = now_;
};

}  // namespace caraway::tests
