#pragma once

#include "../http/loop_fixture.hpp"
#include "../users_platform/stand_in_store.hpp"
#include "crowd.hpp"
#include "router_process.hpp"
#include "stand_in_upstream.hpp"

namespace client_tests
{

/// A router as a process between the test's clients and two stand-in upstreams, with limits of
/// memory and descriptors that a small crowd can reach.
struct client_fixture : http_tests::loop_fixture
{
    client_fixture();
    ~client_fixture();

    /// Lets the crowd act, and checks that the process lives within its memory and descriptors and
    /// answers an ordinary request, while the crowd is there and after it has left.
    void check_against(const crowd::terms& sent);

    /// Whether an ordinary request is answered with 200; it is sent again as callers may.
    bool is_request_answered();

    /// The head of a request; `fields` are header fields, each ended by CRLF.
    static std::string head(const std::string& path, std::size_t number, const std::string& fields);
    /// Fields that fill a head up to the limit with lines of no content.
    static std::string many_lines();

    users_platform_tests::stand_in_store store{loop, timers};
    stand_in_upstream first{loop, "i-1"};
    stand_in_upstream second{loop, "i-2"};
    router_process router;

private:
    /// Lets the crowd act until the time is over or the process is gone or beyond its memory.
    void watch(std::chrono::seconds period);
    void check_bounds(const char* when);
    std::size_t largest_use_ = 0;
    std::size_t most_descriptors_ = 0;
};

}  // namespace client_tests
