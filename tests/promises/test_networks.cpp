#include "fleet_fixture.hpp"

#include <boost/test/unit_test.hpp>

// Symptom: a test failed with "the change id is taken by another change" though it had proposed
// none before; 2 runs of 15 beside another fleet, none alone. Sequence: two fleets ran at once, in
// one test program or two, and both had drawn the same loopback network; the second one's calls
// reached the first one's routers. Cause: a network was drawn without finding out whether another
// fleet has it.

BOOST_AUTO_TEST_SUITE(networks)

BOOST_AUTO_TEST_CASE(a_fleet_refuses_the_network_of_another)
{
    const fleet::fleet first(fleet::small_layout(CARAWAY_BIN_DIR));
    auto plan = fleet::small_layout(CARAWAY_BIN_DIR);
    plan.network = first.network();
    fleet::fleet second(plan);

    const auto started = second.start_platform();

    BOOST_REQUIRE(!started);
    BOOST_TEST((started.error().code == caraway::base::errc::unavailable));
}

BOOST_AUTO_TEST_CASE(a_network_is_free_again_when_its_fleet_is_gone)
{
    auto plan = fleet::small_layout(CARAWAY_BIN_DIR);
    {
        const fleet::fleet first(plan);
        plan.network = first.network();
    }
    fleet::fleet second(plan);

    BOOST_TEST(second.network() == plan.network);
    BOOST_TEST(second.start_platform().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
