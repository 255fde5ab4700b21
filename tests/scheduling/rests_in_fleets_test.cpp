#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

namespace caraway::scheduling::test
{

namespace
{

constexpr milliseconds rest{3000};
constexpr std::uint32_t nodes = 3;

fleet flooded_fleet()
{
    fleet f({.nodes = nodes});
    f.add_workspace("a");
    f.add_service("s", 4, 2);
    f.publish();
    f.run_for(milliseconds(1000));
    for (std::uint32_t node = 0; node < nodes; ++node)
    {
        f.add_flood({.node = node,
                     .workspace = "a",
                     .depth = 8,
                     .cost = []
                     {
                         return 5.0;
                     }});
    }
    f.run_for(milliseconds(500));
    return f;
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
    f.forced_results["s-u0"] = attempt_result::overloaded;
    f.requested_rests["s-u0"] = rest;
    f.run_for(milliseconds(400));
    f.arrivals.clear();
    f.run_for(milliseconds(2000));
    BOOST_TEST(most_arrivals(f, "s-u0") == 0);
    BOOST_TEST(most_arrivals(f, "s-u1") > 0);
}

BOOST_AUTO_TEST_CASE(all_upstreams_of_a_service_may_rest)
{
    auto f = flooded_fleet();
    for (const auto* upstream : {"s-u0", "s-u1", "s-u2", "s-u3"})
    {
        f.forced_results[upstream] = attempt_result::overloaded;
        f.requested_rests[upstream] = rest;
    }
    f.run_for(milliseconds(400));
    f.arrivals.clear();
    f.run_for(milliseconds(2000));
    for (const auto* upstream : {"s-u0", "s-u1", "s-u2", "s-u3"})
    {
        BOOST_TEST(most_arrivals(f, upstream) == 0);
    }
}

BOOST_AUTO_TEST_CASE(an_upstream_is_used_again_after_its_rest)
{
    auto f = flooded_fleet();
    f.forced_results["s-u0"] = attempt_result::overloaded;
    f.requested_rests["s-u0"] = rest;
    f.run_for(milliseconds(400));
    f.forced_results.clear();
    f.run_for(rest);
    f.arrivals.clear();
    f.run_for(milliseconds(1000));
    BOOST_TEST(most_arrivals(f, "s-u0") > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::scheduling::test
