#include "libcaraway/routing/entry/overload_guard.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace caraway::routing;
using namespace caraway::routing::entry;
using namespace std::chrono_literals;

namespace
{

/// Of a flood, which asks for more than its part.
constexpr auto competing = part_standing::competing;

const stream_effort ordinary{.tokens = 1000, .events = 10};

/// A VM whose event loop is delayed by 1 ms per stream beyond `capacity`. Callers start `requested`
/// streams per tick, each of which lasts about ten ticks.
struct small_vm
{
    std::size_t capacity = 0;
    overload_guard guard{};
    std::size_t active_streams = 0;
    std::size_t max_delay_ms = 0;

    void tick(std::size_t requested)
    {
        active_streams -= active_streams / 10;
        for (std::size_t count = 0;
             count < requested && guard.admits(ordinary, competing, active_streams, 0, 0.5);
             ++count)
        {
            ++active_streams;
        }
        const auto excess = active_streams > capacity ? active_streams - capacity : 0;
        max_delay_ms = std::max(max_delay_ms, excess);
        guard.record_tick(std::chrono::milliseconds(3 + excess), active_streams);
    }
};

/// A VM with 0.12 cores under a flood. Each connection costs it as much as a refusal, whether its
/// request is admitted or not; each stream costs it as much as relaying its events. Work that is
/// not done within a tick delays the next one.
struct flooded_vm
{
    static constexpr double cpu_ms_per_tick = 12;
    static constexpr double connection_cost_ms = 0.1;
    static constexpr double stream_cost_ms = 0.1;

    overload_guard guard{};
    double backlog_ms = 0;
    std::size_t active_streams = 0;
    std::size_t accepted = 0;
    /// Engines have free slots for the requests that the guard admits.
    bool engines_have_slots = true;

    void tick(std::size_t connections)
    {
        active_streams -= active_streams / 10;
        accepted = 0;
        bool stops_accepting = false;
        for (std::size_t count = 0; count < connections && !stops_accepting; ++count)
        {
            stops_accepting = !guard.record_connection(active_streams);
            ++accepted;
            active_streams +=
                engines_have_slots && guard.admits(ordinary, competing, active_streams, 0, 0.5) ? 1
                                                                                                : 0;
        }
        const auto work_ms = static_cast<double>(accepted) * connection_cost_ms +
                             static_cast<double>(active_streams) * stream_cost_ms;
        backlog_ms = std::max(0.0, backlog_ms + work_ms - cpu_ms_per_tick);
        // Stays below the delay that the guard takes for a suspended VM.
        const auto delay_ms = std::min(600.0, backlog_ms / 0.12);
        guard.record_tick(std::chrono::milliseconds(3 + static_cast<int>(delay_ms)),
                          active_streams);
    }

    double mean_active_streams(std::size_t connections, int ticks)
    {
        double sum = 0;
        for (int tick_number = 0; tick_number < ticks; ++tick_number)
        {
            tick(connections);
            sum += static_cast<double>(active_streams);
        }
        return sum / ticks;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(overload_guards)

// Guards against spending the whole processor on refusals. The callers of one availability zone got
// only 0.30 to 0.53 of the service that they were entitled to, against 0.8 to 0.95 elsewhere, while
// the other VMs of the zone were idle. All callers of one workspace were connected to one VM with
// 0.12 cores, which was no longer listed as an entry point, and sent 1,300 requests per second,
// each on a new connection. Accepting, reading and refusing them used up the processor, so the VM
// lowered its limit of streams to the minimum.
// Of that zone's 30,000 requests within 24 s, 25,000 went to that VM, which answered 1,261. With
// eight connections per tick it answered 2,159. Closing the refused connections made no difference
// (1,302).
BOOST_AUTO_TEST_CASE(refusals_under_flood_leave_the_processor_to_admitted_streams)
{
    flooded_vm vm;
    vm.mean_active_streams(130, 100);

    // The same as for streams alone: three quarters of its capacity of a hundred.
    BOOST_TEST(vm.mean_active_streams(130, 300) >= 75);
}

// Refusals for lack of engine slots must not lower the limit of streams for the time afterwards.
BOOST_AUTO_TEST_CASE(a_flooded_router_uses_its_capacity_once_engines_have_slots_again)
{
    flooded_vm vm;
    vm.mean_active_streams(130, 100);
    vm.engines_have_slots = false;
    vm.mean_active_streams(130, 30);
    vm.engines_have_slots = true;
    vm.mean_active_streams(130, 10);

    // The same as earlier in the flood: three quarters of its capacity of a hundred.
    BOOST_TEST(vm.mean_active_streams(130, 10) >= 75);
}

// Health checks and callers of other workspaces must still get connections.
BOOST_AUTO_TEST_CASE(a_flooded_router_still_accepts_some_connections)
{
    flooded_vm vm;
    vm.mean_active_streams(1000, 100);
    for (int tick = 0; tick < 100; ++tick)
    {
        vm.tick(1000);
        BOOST_TEST_REQUIRE(vm.accepted >= 4);
    }
}

BOOST_AUTO_TEST_CASE(all_connections_are_accepted_after_the_flood)
{
    flooded_vm vm;
    vm.mean_active_streams(130, 100);
    vm.mean_active_streams(5, 200);

    vm.tick(60);

    BOOST_TEST(vm.accepted == 60);
}

// Guards against accepting more streams than the processor can relay. The callers of one workspace
// were all connected to a small VM and sent four times the load that it could relay. It accepted
// all of it, so each request waited for a second in the event loop, and all callers left before
// their answers came, although the VM was busy all the time.
BOOST_AUTO_TEST_CASE(a_flooded_router_accepts_what_it_can_carry)
{
    small_vm vm{.capacity = 100};
    for (int tick = 0; tick < 100; ++tick)
    {
        vm.tick(40);
    }
    vm.max_delay_ms = 0;
    std::size_t min_active_streams = vm.active_streams;
    for (int tick = 0; tick < 300; ++tick)
    {
        vm.tick(40);
        min_active_streams = std::min(min_active_streams, vm.active_streams);
    }

    BOOST_TEST(vm.guard.overloaded());
    BOOST_TEST(vm.max_delay_ms <= 50);
    BOOST_TEST(min_active_streams >= 75);
}

BOOST_AUTO_TEST_CASE(a_router_that_keeps_up_has_no_limit)
{
    small_vm vm{.capacity = 1000};
    for (int tick = 0; tick < 100; ++tick)
    {
        vm.tick(40);
    }

    BOOST_TEST(!vm.guard.overloaded());
}

// Guards against refusing callers after a VM was suspended or a large configuration was applied.
BOOST_AUTO_TEST_CASE(a_single_late_tick_or_a_suspension_is_not_overload)
{
    overload_guard guard;
    guard.record_tick(60ms, 50);
    guard.record_tick(2ms, 50);
    guard.record_tick(4000ms, 50);
    guard.record_tick(60ms, 50);

    BOOST_TEST(guard.admits(ordinary, competing, 1000, 0, 0.9));
}

// Guards against admitting requests regardless of their yield. The callers of a workspace were all
// connected to one small VM, and long answers to short prompts used up its processor, so the
// workspace got less than half of the tokens that others got.
BOOST_AUTO_TEST_CASE(an_overloaded_router_prefers_requests_with_high_yield)
{
    const stream_effort high_yield{.tokens = 12000, .events = 35};
    const stream_effort low_yield{.tokens = 800, .events = 26};
    overload_guard guard;
    for (int request = 0; request < 400; ++request)
    {
        BOOST_TEST_REQUIRE(guard.admits(low_yield, competing, 0, 0, 0.9));
        BOOST_TEST_REQUIRE(guard.admits(high_yield, competing, 0, 0, 0.9));
    }
    for (int tick = 0; tick < 3; ++tick)
    {
        guard.record_tick(60ms, 100);
    }

    BOOST_TEST(guard.admits(high_yield, competing, 50, 0, 0.9));
    BOOST_TEST(!guard.admits(low_yield, competing, 50, 0, 0.9));
    BOOST_TEST(guard.admits(low_yield, competing, 50, 0, 0.1));
}

BOOST_AUTO_TEST_CASE(the_limit_is_removed_after_the_flood)
{
    small_vm vm{.capacity = 100};
    for (int tick = 0; tick < 100; ++tick)
    {
        vm.tick(40);
    }
    BOOST_TEST(vm.guard.overloaded());
    for (int tick = 0; tick < 100; ++tick)
    {
        vm.tick(3);
    }

    BOOST_TEST(!vm.guard.overloaded());
}

BOOST_AUTO_TEST_SUITE_END()
