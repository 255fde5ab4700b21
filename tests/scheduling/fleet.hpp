#pragma once

#include "libcaraway/scheduling/node_scheduler.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace caraway::scheduling::test
{

using std::chrono::milliseconds;

/// Faults of the simulated network, drawn from the fleet's seed.
struct network_faults
{
    double loss_probability = 0;
    double repeat_probability = 0;
    milliseconds latency{2};
    /// Upper bound of a random delay added to the latency, so that messages overtake each other.
    milliseconds jitter{0};
};

struct fleet_options
{
    std::uint32_t nodes = 1;
    std::uint32_t zones = 1;
    scheduler_options scheduling;
    network_faults faults;
    std::uint64_t seed = 1;
    /// Cost units that one slot renders per second.
    double speed = 50;
};

/// Keeps `depth` requests of a workspace waiting at one router.
struct flood
{
    std::uint32_t node = 0;
    std::string workspace;
    std::string service = "s";
    std::uint32_t depth = 4;
    std::function<double()> cost;
    /// Returns the cost hint for a request of the given cost; 0 for no hint.
    std::function<double(double)> hint = [](double cost)
    {
        return cost;
    };
};

/// State or final result of a request.
enum class request_status
{
    waiting,
    running,
    done,
    given_up,
    lost,
};

/// Simulates routers, upstreams and the network between them in one thread on a virtual clock.
class fleet
{
public:
    explicit fleet(fleet_options options);

    config::configuration& configuration();
    void add_workspace(const std::string& name, double share = 1);
    void add_service(const std::string& name, std::uint32_t upstreams, base::slots slots);
    /// Applies configuration and members to all live routers.
    void publish();

    base::request_number submit(std::uint32_t node, const std::string& workspace, double cost,
                                const std::string& service = "s", double hint = -1,
                                milliseconds timeout = milliseconds(600000));
    void add_flood(flood added);
    void stop_flood(const std::string& workspace);

    void run_for(milliseconds duration);
    void kill(std::uint32_t node);
    /// Starts a new incarnation of a router.
    void start(std::uint32_t node);
    /// Blocks or restores both directions of the link between two nodes.
    void set_partitioned(std::uint32_t a, std::uint32_t b, bool partitioned);
    /// Sets the nodes that `node` sees as members; without a call it sees all live nodes.
    void set_members(std::uint32_t node, const std::vector<std::uint32_t>& others);

    base::time_point now() const;
    node_scheduler& node(std::uint32_t index);
    bool alive(std::uint32_t index) const;
    base::node_ref ref(std::uint32_t index) const;
    /// Index of the node that owns an upstream in the view of the node `observer`; UINT32_MAX if
    /// unknown there.
    std::uint32_t owner_of(const std::string& upstream, std::uint32_t observer);

    /// Cost rendered to a workspace so far.
    double served(const std::string& workspace) const;
    std::uint32_t running(const std::string& upstream) const;
    std::uint32_t total_running() const;
    /// Highest number of requests that an upstream has held at the same time, waiting ones
    /// included.
    std::uint32_t peak(const std::string& upstream) const;
    std::uint64_t messages() const;
    request_status status_of(std::uint32_t node, base::request_number number) const;
    /// Requests in the order in which they were started.
    const std::vector<std::pair<std::uint32_t, base::request_number>>& started() const;
    const std::vector<rejection>& given_up() const;
    /// Results by upstream: attempts at these upstreams end with this result without being run.
    std::map<std::string, attempt_result> forced_results;
    /// Rests that upstreams of `forced_results` ask for with each refusal.
    std::map<std::string, milliseconds> requested_rests;
    /// Attempts that reached each upstream, by router.
    std::map<std::string, std::map<std::uint32_t, std::uint32_t>> arrivals;
    /// Called for each message that is sent.
    std::function<void(std::uint32_t from, const send_message&)> on_message;
    /// Called after each step of virtual time.
    std::function<void()> on_step;

private:
    using job_id = std::pair<base::node_ref, base::request_number>;
    struct job
    {
        std::string workspace;
        double cost = 0;
        double rendered = 0;
        std::uint32_t node = 0;
        std::string service;
    };
    struct engine
    {
        base::slots slots = 0;
        std::vector<job_id> running;
        std::vector<job_id> waiting;
        std::uint32_t peak = 0;
    };
    struct router
    {
        std::unique_ptr<node_scheduler> scheduler;
        base::node_ref ref;
        base::zone_id zone;
        std::uint64_t next_number = 0;
        std::optional<std::vector<std::uint32_t>> members;
    };
    using queue_key = std::tuple<std::uint32_t, std::string, std::string>;
    using event = std::function<void()>;

    void schedule(base::duration delay, event callback);
    void execute_actions(std::uint32_t index);
    void deliver(std::uint32_t from, const send_message& sent);
    void enter_upstream(const std::string& upstream, const job_id& id);
    void leave_upstream(const std::string& upstream, const job_id& id);
    void advance_engines(base::duration elapsed);
    void complete(const std::string& upstream, const job_id& id, attempt_result result);
    void refill_floods();
    void tick_if_due(std::uint32_t index);
    double random_unit();
    void remove_from_queue(std::uint32_t node, base::request_number number, request_status status);

    fleet_options options_;
    std::mt19937_64 random_;
    base::manual_clock clock_;
    config::configuration configuration_;
    std::vector<router> routers_;
    std::map<std::string, engine> engines_;
    std::map<job_id, job> jobs_;
    std::map<std::pair<std::uint32_t, base::request_number>, request_status> statuses_;
    std::multimap<base::time_point, event> events_;
    std::vector<flood> floods_;
    std::map<queue_key, std::uint32_t> waiting_;
    std::set<std::pair<std::uint32_t, std::uint32_t>> blocked_;
    std::map<std::string, double> served_;
    std::vector<std::pair<std::uint32_t, base::request_number>> started_;
    std::vector<rejection> given_up_;
    std::uint64_t messages_ = 0;
};

}  // namespace caraway::scheduling::test
