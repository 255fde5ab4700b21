#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

namespace caraway::scheduling::test
{

namespace
{

fleet_options with_nodes(std::uint32_t nodes)
{
    fleet_options options;
    options.nodes = nodes;
    return options;
}

double fixed_cost()
{
    return 20;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(sharing)

BOOST_AUTO_TEST_CASE(one_request_at_a_lone_router_starts_at_once)
{
    fleet f(with_nodes(1));
    f.add_workspace("a");
    f.add_service("s", 1, 2);
    f.publish();
    const auto number = f.submit(0, "a", 10);
    BOOST_TEST((f.status_of(0, number) == request_status::running));
    f.run_for(milliseconds(1000));
    BOOST_TEST((f.status_of(0, number) == request_status::done));
    BOOST_TEST(f.node(0).snapshot(f.now()).owned[0].held == 0);
}

BOOST_AUTO_TEST_CASE(a_request_reaches_an_upstream_that_another_router_owns)
{
    fleet f(with_nodes(3));
    f.add_workspace("a");
    f.add_service("s", 1, 1);
    f.publish();
    f.run_for(milliseconds(1000));
    const auto owner = f.owner_of("s-u0", 0);
    const auto other = (owner + 1) % 3;
    const auto number = f.submit(other, "a", 10);
    f.run_for(milliseconds(10));
    BOOST_TEST((f.status_of(other, number) == request_status::running));
    f.run_for(milliseconds(3000));
    BOOST_TEST((f.status_of(other, number) == request_status::done));
    BOOST_TEST(f.node(owner).snapshot(f.now()).owned[0].held == 0);
}

BOOST_AUTO_TEST_CASE(shares_of_one_to_three_are_kept)
{
    for (const std::uint32_t nodes : {1U, 3U, 8U})
    {
        fleet f(with_nodes(nodes));
        f.add_workspace("small", 1);
        f.add_workspace("large", 3);
        f.add_service("s", 4, 4);
        f.publish();
        f.add_flood({.node = 0, .workspace = "small", .depth = 8, .cost = fixed_cost});
        f.add_flood({.node = nodes - 1, .workspace = "large", .depth = 8, .cost = fixed_cost});
        f.run_for(milliseconds(30000));
        BOOST_TEST_MESSAGE(nodes << " nodes: " << f.served("small") << " " << f.served("large"));
        BOOST_TEST(f.served("large") / f.served("small") == 3.0,
                   boost::test_tools::tolerance(0.05));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::scheduling::test
