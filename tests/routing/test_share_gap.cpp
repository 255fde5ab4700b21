#include "libcaraway/routing/shares/share_gap.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using routing::shares::workspace_usages;

namespace
{

const base::workspace_id ahead("ahead");
const base::workspace_id behind("behind");

/// A second in which `behind` had a third of what `ahead` had.
const workspace_usages uneven{{ahead, {.demanded = 900, .served = 600, .refused = 300}},
                              {behind, {.demanded = 800, .served = 200, .refused = 600}}};

}  // namespace

BOOST_AUTO_TEST_SUITE(share_gaps_of_seconds)

BOOST_AUTO_TEST_CASE(the_widest_gap_is_that_of_a_workspace_that_waited_for_six_seconds)
{
    routing::shares::share_gap gap;
    for (int second = 0; second < 5; ++second)
    {
        gap.add_second(uneven);
    }
    BOOST_TEST(gap.widest().ratio == 1);
    gap.add_second(uneven);

    BOOST_TEST(gap.widest().ratio == 3);
    BOOST_TEST(gap.widest().behind == behind);
    BOOST_TEST(gap.widest().ahead == ahead);
}

BOOST_AUTO_TEST_CASE(a_workspace_that_was_served_in_between_has_no_gap)
{
    routing::shares::share_gap gap;
    for (int second = 0; second < 6; ++second)
    {
        auto usages = uneven;
        usages[behind].refused = second == 3 ? 0 : 600;
        gap.add_second(usages);
    }

    BOOST_TEST(gap.widest().ratio == 1);
}

BOOST_AUTO_TEST_CASE(a_workspace_is_not_behind_for_tokens_that_it_did_not_ask_for)
{
    routing::shares::share_gap gap;
    for (int second = 0; second < 6; ++second)
    {
        auto usages = uneven;
        usages[behind].demanded = 300;
        gap.add_second(usages);
    }

    BOOST_TEST(gap.widest().ratio == 1.5);
}

BOOST_AUTO_TEST_SUITE_END()
