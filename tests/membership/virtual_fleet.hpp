#pragma once

#include "libcaraway/membership/membership.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace caraway::tests
{

using base::time_point;
using namespace std::chrono_literals;

/// Datagrams and bytes that one node sent, with sizes as encoded and sealed for the wire.
struct traffic
{
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    std::size_t largest = 0;
};

struct change
{
    time_point at;
    base::node_id observer;
    membership::member_changed transition;
};

/// Nodes on a simulated network that loses and delays datagrams, on a simulated clock. Runs with
/// the same seed are identical.
class virtual_fleet
{
public:
    struct options
    {
        std::uint32_t seed = 1;
        double loss = 0;
        base::duration min_delay = 200us;
        base::duration max_delay = 3ms;
        membership::membership_options member{};
    };

    explicit virtual_fleet(options settings);

    /// Starts `count` nodes that know the first three as seeds, and runs until all nodes agree;
    /// throws if they do not within 60 s.
    void start(std::size_t count);
    std::size_t add(std::uint64_t incarnation_offset);
    void restart(std::size_t node, std::uint64_t incarnation_offset);
    void kill(std::size_t node);
    void freeze(std::size_t node);
    void resume(std::size_t node);
    /// All datagrams between nodes of different groups are lost.
    void partition(std::function<int(std::size_t)> group_of);
    void heal();

    void run_for(base::duration duration);
    /// Runs in steps of 50 ms until `predicate` is true; returns false if it is still false after
    /// `limit`.
    bool run_until(const std::function<bool()>& predicate, base::duration limit);

    membership::membership& at(std::size_t node);
    /// Performs the actions that a call on at() produced.
    void perform_actions(std::size_t node);
    static base::node_id id(std::size_t node);
    /// Makes an incarnation as large as real ones, which are milliseconds since 1970.
    static base::incarnation incarnation_of(std::uint64_t offset);
    /// The state of `node` as `observer` sees it.
    membership::member_state observed_state(std::size_t observer, std::size_t node);
    /// Whether every running node sees exactly the running nodes as alive.
    bool has_converged();
    time_point now() const
    {
        return now_;
    }

    std::vector<change> changes;
    std::vector<membership::newer_configuration_seen> configurations;
    std::vector<membership::newer_incarnation_seen> newer_incarnations;
    std::map<std::size_t, traffic> sent;

private:
    struct machine
    {
        std::unique_ptr<membership::membership> member;
        bool running = false;
        bool frozen = false;
        /// Time of the one scheduled tick; any other tick in the queue is ignored.
        time_point tick_at = time_point::max();
        std::vector<std::function<void()>> unread_datagrams;
    };
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void launch(std::size_t node, std::uint64_t incarnation_offset);
    void schedule(time_point at, std::function<void()> run);
    void schedule_tick(std::size_t node);
    void transmit(std::size_t from, const membership::send& sending);
    void deliver(std::size_t from, std::size_t to, const base::node_ref& sender,
                 const membership::send& sending);
    membership::endpoint address(std::size_t node) const;

    options options_;
    std::mt19937_64 random_;
    time_point now_{1h};
    std::uint64_t order_ = 0;
    std::vector<machine> machines_;
    std::map<membership::endpoint, std::size_t> nodes_by_address_;
    std::function<int(std::size_t)> group_of_;
    std::priority_queue<event> events_;
};

}  // namespace caraway::tests
