#pragma once

#include "../http/loop_fixture.hpp"
#include "stand_in_runner.hpp"
#include "stand_in_store.hpp"

#include "libcaraway/router/daemon.hpp"

#include "platform/adapter.hpp"

#include <nlohmann/json.hpp>

#include <map>

namespace users_platform_tests
{

/// A route of the configuration, with the platform's values for `kind`.
struct route_spec
{
    std::string prefix;
    std::string kind = "unsafe";
    std::string service = "plain";
    int max_attempts = 1;
    bool resumable = false;
    int timeout_ms = 3000;
    bool anonymous = false;
    /// Further services that get as much of the route's traffic as `service`.
    std::vector<std::string> other_services = {};
};

/// One or more routers between callers and runners, with a stand-in of the store, on one event
/// loop.
struct router_fixture : http_tests::loop_fixture
{
    router_fixture();
    ~router_fixture();

    /// Writes a configuration with these routes and API keys to the store.
    void accept_configuration(int version, const std::vector<route_spec>& routes,
                              const std::vector<std::string>& keys = {"key-1"});
    void add_upstream(const stand_in_runner& runner, const std::string& service = "plain",
                      const std::string& state = "ready");
    /// Starts a router and, if `wait_until_ready`, requires that it becomes ready.
    caraway::router::daemon& start_router(const std::string& name = "r1",
                                          bool wait_until_ready = true);
    /// Starts a router whose only access to the platform is the given store.
    caraway::router::daemon& start_router_at(const stand_in_store& platform_store,
                                             const std::string& name, bool wait_until_ready);

    /// Sends a request on a new connection; `fields` are header fields, each ended by CRLF.
    std::shared_ptr<http_tests::raw_peer>
    send_request(caraway::router::daemon& router, const std::string& target, const std::string& id,
                 const std::string& fields = "Api-Key: key-1\r\n",
                 const std::string& body = "body");
    /// Waits for the head of an answer; whether the status code begins with `code`.
    bool receives_status(const std::shared_ptr<http_tests::raw_peer>& end, const std::string& code);
    /// Ids of the router's upstreams that aren't draining, each followed by a space.
    static std::string usable_upstreams(caraway::router::daemon& router);
    /// Whether a single log line contains all these parts.
    bool logged(const std::vector<std::string>& parts) const;

    stand_in_store store{loop, timers};
    /// Workspaces of configurations accepted from now on, beside "north", each with its API key.
    std::map<std::string, std::string> further_workspaces;
    /// Requests per second that a cold engine may get, in configurations accepted from now on; 0
    /// means that engines are never cold.
    double warmup_rate = 0;
    /// Clock and timers of routers started from now on.
    const caraway::base::clock* router_clock = &clock;
    caraway::http::timer_queue* router_timers = &timers;
    std::vector<std::string> log_lines;
    caraway::telemetry::line_log log;
    std::vector<caraway::routing::endpoint> seeds;
    /// How often routers started from now on take runners to write their entries.
    std::chrono::milliseconds heartbeat{0};
    /// Routers started from now on are told that no router has served before.
    bool bootstrap = false;
    /// Result of reading the settings file again; initially the settings of the router started
    /// last.
    caraway::base::result<caraway::router::settings> changed_settings{caraway::router::settings{}};
    std::vector<std::unique_ptr<caraway::router::daemon>> routers;
};

}  // namespace users_platform_tests
