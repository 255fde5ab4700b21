#pragma once

#include "../users_platform/paced_clock.hpp"
#include "../users_platform/router_fixture.hpp"

#include <optional>

namespace router_cost_tests
{

/// How often a test does what it is named after; the argument after "--", by default a few times.
/// The instructions of one are those of two runs with different counts, by difference.
int repetitions();

/// A digest of a busy router: eight engines and ten workspaces in use, some refusals.
caraway::routing::digest busy_digest(const std::string& sender);

/// A router before one engine. Each handler of the event loop seems to take 0.1 ms, so that the
/// router's regular work comes as often on any machine, also under a tool that slows it down.
struct cost_fixture : users_platform_tests::router_fixture
{
    cost_fixture();
    /// Ends the routers before the clock and the timers that they use.
    ~cost_fixture();

    /// Runs the loop until the condition holds; fails after ten seconds of the paced clock.
    void run_until(const std::function<bool()>& condition);
    /// Runs the loop until all that is pending has been done.
    void run_pending();

    /// Sends a streamed request on the connection and answers it with this many events, each of
    /// which reaches the caller before the next is sent.
    void stream(const std::shared_ptr<http_tests::raw_peer>& caller, int events);
    /// A caller's connection to the router, or to the engine itself.
    std::shared_ptr<http_tests::raw_peer> caller_of_router();
    std::shared_ptr<http_tests::raw_peer> caller_of_engine();

    users_platform_tests::paced_clock paced;
    caraway::http::timer_queue paced_timers{loop, paced};
    users_platform_tests::stand_in_runner engine{loop, timers, "i-1"};
    caraway::router::daemon* router = nullptr;

private:
    int last_request_ = 0;
    std::optional<users_platform_tests::stand_in_runner::run> current_;
};

}  // namespace router_cost_tests
