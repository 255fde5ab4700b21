#include "libcaraway/routing/entry/work_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

using namespace caraway::routing::entry;
using namespace std::chrono_literals;

namespace
{

/// Refusals that the budget allows in one tick of 100 ms.
int refusals_per_tick(work_budget& budget, double admitted)
{
    budget.advance(100ms, admitted);
    int count = 0;
    while (budget.may_refuse() && count < 100000)
    {
        budget.record_refusal();
        ++count;
    }
    return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(work_budgets)

// 3,000 units of work a second, of which 0.15 are 450: 225 refusals of two units each.
BOOST_AUTO_TEST_CASE(refusals_get_their_part_of_the_work)
{
    work_budget budget({.refusals = 0.15, .refusal_work = 2});
    for (int tick = 0; tick < 100; ++tick)
    {
        refusals_per_tick(budget, 300);
    }
    int refused = 0;
    for (int tick = 0; tick < 100; ++tick)
    {
        refused += refusals_per_tick(budget, 300);
    }

    BOOST_TEST(refused >= 2225);
    BOOST_TEST(refused <= 2275);
}

BOOST_AUTO_TEST_CASE(dear_refusals_are_fewer)
{
    work_budget budget({.refusals = 0.15, .refusal_work = 20});
    int refused = 0;
    for (int tick = 0; tick < 200; ++tick)
    {
        refusals_per_tick(budget, 300);
    }
    for (int tick = 0; tick < 100; ++tick)
    {
        refused += refusals_per_tick(budget, 300);
    }

    BOOST_TEST(refused >= 222);
    BOOST_TEST(refused <= 228);
}

BOOST_AUTO_TEST_CASE(work_left_over_is_kept_for_a_burst_only)
{
    work_budget budget({.refusals = 0.15, .refusal_work = 2, .burst = 200ms});
    for (int tick = 0; tick < 200; ++tick)
    {
        budget.advance(100ms, 300);
    }

    BOOST_TEST(refusals_per_tick(budget, 300) <= 46);
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_with_an_answer_where_nothing_is_admitted)
{
    work_budget budget;
    BOOST_TEST(refusals_per_tick(budget, 0) == 0);
}

BOOST_AUTO_TEST_CASE(values_that_make_no_sense_are_ignored)
{
    work_budget budget;
    BOOST_TEST(!budget.may_refuse());
    budget.advance(0ms, 5);
    budget.advance(-1s, 5);
    budget.advance(100ms, -5);
    budget.advance(100ms, std::numeric_limits<double>::infinity());
    budget.advance(100ms, std::nan(""));
    BOOST_TEST(!budget.may_refuse());
    BOOST_TEST(budget.work_rate() == 0);
    budget.advance(100ms, 100);
    BOOST_TEST(budget.may_refuse());
    const double left = budget.left();
    budget.record_refusal();
    BOOST_TEST(std::abs(left - budget.left() - work_budget_options{}.refusal_work) < 1e-9);
}

BOOST_AUTO_TEST_SUITE_END()
