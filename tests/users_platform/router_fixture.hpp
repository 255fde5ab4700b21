#pragma once

#include "../http/loop_fixture.hpp"
#include "stand_in_runner.hpp"
#include "stand_in_store.hpp"

#include "libcaraway/router/daemon.hpp"

#include "platform/adapter.hpp"

#include <nlohmann/json.hpp>

namespace users_platform_tests
{

/// A route of the configuration, in the platform's words.
struct route_spec
{
    std::string prefix;
    std::string kind = "unsafe";
    std::string service = "plain";
    int max_attempts = 1;
    bool resumable = false;
    int timeout_ms = 3000;
    bool anonymous = false;
};

/// One or more routers between callers and runners, with the store's stand-in, on one event loop.
struct router_fixture : http_tests::loop_fixture
{
    router_fixture();
    ~router_fixture();

    /// Accepts a configuration with these routes and puts the runners into the store.
    void accept(int version, const std::vector<route_spec>& routes,
                const std::vector<std::string>& keys = {"key-1"});
    void add(const stand_in_runner& runner, const std::string& service = "plain",
             const std::string& state = "ready");
    /// Starts a router, and waits until it is ready if `wait`.
    caraway::router::daemon& start_router(const std::string& name = "r1", bool wait = true);
    /// One that reaches the platform by that store alone.
    caraway::router::daemon& start_router_at(const stand_in_store& at, const std::string& name,
                                             bool wait);

    /// Sends a request on a connection of its own.
    std::shared_ptr<http_tests::raw_end> ask(caraway::router::daemon& router,
                                             const std::string& target, const std::string& id,
                                             const std::string& fields = "Api-Key: key-1\r\n",
                                             const std::string& body = "body");
    /// Waits for an answer that begins with this status line's part.
    bool answered(const std::shared_ptr<http_tests::raw_end>& end, const std::string& code);
    /// Ids of the upstreams that the router would send to, each followed by a space.
    static std::string usable(caraway::router::daemon& router);
    /// Whether some log line holds all of these.
    bool logged(const std::vector<std::string>& parts) const;

    stand_in_store store{loop, timers};
    /// Requests a second that a cold engine bears, in configurations accepted from now on; 0:
    /// engines are never cold.
    double warmup_rate = 0;
    /// By which routers live that are started from now on.
    const caraway::base::clock* router_clock = &clock;
    caraway::http::timer_queue* router_timers = &timers;
    std::vector<std::string> lines;
    caraway::telemetry::line_log log;
    std::vector<caraway::routing::endpoint> seeds;
    /// What routers read anew: at first the settings of the router started last.
    caraway::base::result<caraway::router::settings> changed_settings{caraway::router::settings{}};
    std::vector<std::unique_ptr<caraway::router::daemon>> routers;
};

}  // namespace users_platform_tests
