#pragma once

#include "../users_platform/router_fixture.hpp"

#include <random>
#include <set>

namespace crashing_part_tests
{

using namespace std::chrono_literals;
using users_platform_tests::router_fixture;
using users_platform_tests::stand_in_runner;
using caller_connection = std::shared_ptr<http_tests::raw_peer>;

/// What the users' pages allow.
constexpr auto contact_time = 3000ms;
constexpr std::size_t crashes_until_known = 5;
constexpr std::size_t max_late_arrivals = 3;

/// Parts of a prompt, all but the last of which other requests may have.
using parts = std::vector<std::string>;

/// Routers before twelve engines. An engine that runs a request with one of the crashing parts
/// begins its answer and crashes; another one takes its place some seconds later, under a new id.
struct crashing_fleet : router_fixture
{
    struct engine
    {
        std::unique_ptr<stand_in_runner> runner;
        bool alive = true;
    };
    struct caller
    {
        caller_connection connection;
        caraway::base::time_point sent_at;
    };
    /// Requests that come at a constant rate, at all routers in turn.
    struct request_source
    {
        std::chrono::milliseconds period{};
        std::function<parts()> make_parts;
        bool sound = true;
        caraway::base::time_point next{};
    };

    crashing_fleet();

    void start_routers(int count);
    /// Runs the fleet, with the requests of all sources, for this time.
    void run_for(std::chrono::milliseconds duration);
    /// Runs the fleet until this many engines have crashed; fails after ten seconds.
    void run_until_crashes(std::size_t count);
    /// Starts to send requests with this crashing part.
    void send_crashing(const std::string& part, std::function<parts()> make_parts);
    /// Engines that lose power now: their connections break and nobody listens.
    void lose_power(std::size_t count);

    /// A middle part of sound requests, one of several.
    std::string document();
    std::string unique_part();

    std::size_t begun(caraway::base::time_point from, caraway::base::time_point to) const;
    std::size_t sent(caraway::base::time_point from, caraway::base::time_point to) const;
    /// Share of the sound requests sent in this time that got an event at their first attempt.
    double begun_share(caraway::base::time_point from, caraway::base::time_point to) const;
    std::size_t crashing_arrivals_since(const std::string& part,
                                        caraway::base::time_point from) const;
    /// Requires what the pages ask for after the fifth crash under the part.
    void check_rules_after(const std::string& part, caraway::base::time_point fifth_crash);
    std::size_t refused_as_crashing() const;

    std::vector<std::unique_ptr<engine>> engines;
    std::vector<request_source> sources;
    std::vector<caller> sound_callers;
    std::vector<caller_connection> other_callers;
    std::set<std::string> crashing_parts;
    std::vector<std::pair<std::string, caraway::base::time_point>> crashing_arrivals;
    std::vector<std::pair<std::string, caraway::base::time_point>> crashes;
    caraway::base::time_point started{};
    double share_before = 0;

private:
    void add_engine();
    void serve(engine& serving, const stand_in_runner::run& current);
    void crash(engine& crashing);
    void send(request_source& source);
    caller_connection send_to_any_router(std::size_t first, const std::string& id,
                                         const std::string& encoded_parts);
    std::optional<std::string> crashing_part_of(const stand_in_runner::run& current) const;

    std::mt19937 random_{11};
    int engine_count_ = 0;
    int request_count_ = 0;
};

}  // namespace crashing_part_tests
