#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

namespace caraway::scheduling::test
{

namespace
{

constexpr milliseconds rest{3000};
constexpr std::uint32_t nodes = 3;

double fixed_cost()
{
    return 5;
}

fleet flooded_fleet()
{
    fleet f({.nodes = nodes});
    f.add_workspace("a");
    f.add_service("s", 4, 2);
    f.publish();
    f.run_for(milliseconds(1000));
    for (std::uint32_t node = 0; node < nodes; ++node)
    {
        f.add_flood({.node = node, .workspace = "a", .depth = 8, .cost = fixed_cost});
    }
    f.run_for(milliseconds(500));
    return f;
}

/// Lets upstreams refuse and ask for rest until all routers know of it.
void begin_rests(fleet& f, const std::vector<std::string>& upstreams)
{
    for (const auto& upstream : upstreams)
    {
        f.forced_results[upstream] = attempt_result::overloaded;
        f.requested_rests[upstream] = rest;
    }
    f.run_for(milliseconds(400));
}

/// Forgets earlier arrivals and counts those of the next `duration`.
void observe(fleet& f, milliseconds duration)
{
    f.arrivals.clear();
    f.run_for(duration);
}

std::uint32_t most_arrivals(const fleet& f, const std::string& upstream)
{
    std::uint32_t most = 0;
    if (const auto found = f.arrivals.find(upstream); found != f.arrivals.end())
    {
        for (const auto& [node, count] : found->second)
        {
            most = std::max(most, count);
        }
    }
    return most;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rests_in_fleets)

BOOST_AUTO_TEST_CASE(an_upstream_that_asks_for_rest_gets_no_grants_used_until_its_end)
{
    auto f = flooded_fleet();
    begin_rests(f, {"s-u0"});
    observe(f, milliseconds(2000));
    BOOST_TEST(most_arrivals(f, "s-u0") == 0);
    BOOST_TEST(most_arrivals(f, "s-u1") > 0);
}

BOOST_AUTO_TEST_CASE(all_upstreams_of_a_service_may_rest)
{
    auto f = flooded_fleet();
    const std::vector<std::string> upstreams{"s-u0", "s-u1", "s-u2", "s-u3"};
    begin_rests(f, upstreams);
    observe(f, milliseconds(2000));
    for (const auto& upstream : upstreams)
    {
        BOOST_TEST(most_arrivals(f, upstream) == 0);
    }
}

BOOST_AUTO_TEST_CASE(an_upstream_is_used_again_after_its_rest)
{
    auto f = flooded_fleet();
    begin_rests(f, {"s-u0"});
    f.forced_results.clear();
    f.run_for(rest);
    observe(f, milliseconds(1000));
    BOOST_TEST(most_arrivals(f, "s-u0") > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::scheduling::test
