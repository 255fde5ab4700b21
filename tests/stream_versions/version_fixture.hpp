#pragma once

#include "../users_platform/router_fixture.hpp"

#include <set>

namespace stream_version_tests
{

using users_platform_tests::route_spec;
using users_platform_tests::router_fixture;
using users_platform_tests::stand_in_runner;
using caller_connection = std::shared_ptr<http_tests::raw_peer>;

const route_spec resumable_stream{.prefix = "/s/",
                                  .kind = "streaming",
                                  .service = "engines",
                                  .max_attempts = 3,
                                  .resumable = true};

/// Routers and engines of two software versions. Engines are named in the order in which routers
/// choose them while nothing runs: the first one is of another version than the second.
struct version_fixture : router_fixture
{
    stand_in_runner old_1{loop, timers, "i-1"};
    stand_in_runner new_1{loop, timers, "i-2"};
    stand_in_runner old_2{loop, timers, "i-3"};
    stand_in_runner new_2{loop, timers, "i-4"};

    version_fixture();

    std::vector<stand_in_runner*> engines()
    {
        return {&old_1, &new_1, &old_2, &new_2};
    }
    /// Starts this many routers that know each other and the listed engines.
    void start_routers(int count, const std::vector<stand_in_runner*>& listed);
    /// Whether each router hears from at least this many others that take requests.
    bool knows_peers(std::size_t count) const;
    /// Whether all other routers know that this one takes no requests any more.
    bool is_known_to_stop(const caraway::base::node_id& router) const;
    /// Waits until each router knows exactly this many engines that take requests.
    void await_engines(std::size_t count);

    /// Begins a stream at a router; requires that its first event arrives.
    caller_connection begin_stream(std::size_t router, const std::string& id);
    /// Begins a stream at a router while the first engine is busy, so that the second one gets it.
    caller_connection begin_at_second_engine(std::size_t router, const std::string& id);
    /// A caller resumes the stream that this attempt began, after its first event.
    caller_connection resume(std::size_t router, const std::string& id, const std::string& first);
    caller_connection send_stream(std::size_t router, const std::string& id,
                                  const std::string& fields = {});

    /// The latest run of a request at any engine, with the engine; requires that there is one.
    std::pair<stand_in_runner*, stand_in_runner::run> last_run(const std::string& id);
    /// How often a request was run by any engine.
    std::size_t run_count(const std::string& id);
    /// Waits for another event than the first one, and returns the versions of all engines that the
    /// caller has events of; empty if none comes.
    std::set<std::string> versions_after_resume(const caller_connection& caller);
    std::set<std::string> versions_in(const std::string& received);

private:
    caller_connection busy_caller_;
    int busy_streams_ = 0;
};

}  // namespace stream_version_tests
