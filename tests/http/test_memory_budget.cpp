#include "libcaraway/http/memory_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using http::held_for;
using http::memory_hold;

namespace
{

constexpr std::size_t small = http::memory_budget::small_bytes;

struct budget_fixture
{
    std::shared_ptr<http::memory_budget> shared =
        std::make_shared<http::memory_budget>(http::memory_limits{
            .total = 10 * small, .large_requests = 4 * small, .large_answers = 4 * small});
    http::memory_budget& budget = *shared;
    memory_hold upload{shared, held_for::request};
    memory_hold other_upload{shared, held_for::request};
    memory_hold answer{shared, held_for::answer};
    memory_hold other_answer{shared, held_for::answer};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(memory_budgets, budget_fixture)

BOOST_AUTO_TEST_CASE(small_requests_have_room_beside_large_ones)
{
    BOOST_TEST(upload.try_set(5 * small));
    BOOST_TEST(!other_upload.try_set(small + 1));
    BOOST_TEST(budget.take_shortage());
    BOOST_TEST(other_upload.try_set(small));
    BOOST_TEST(!budget.take_shortage());
    BOOST_TEST(budget.held() == 6 * small);
    BOOST_TEST(budget.held_by_large(held_for::request) == 4 * small);
}

BOOST_AUTO_TEST_CASE(nothing_passes_the_total_but_the_answer_that_goes_on)
{
    upload.set(10 * small);
    BOOST_TEST(!other_upload.try_set(1));
    BOOST_TEST(answer.try_set(2 * small));
    BOOST_TEST(answer.try_set(3 * small));
    BOOST_TEST(!other_answer.try_set(1));
    answer.set(0);
    BOOST_TEST(other_answer.try_set(1));
}

BOOST_AUTO_TEST_CASE(one_alone_has_room_whatever_its_size)
{
    BOOST_TEST(upload.try_set(9 * small));
    BOOST_TEST(upload.try_set(10 * small));
}

BOOST_AUTO_TEST_CASE(what_is_dropped_or_taken_over_is_given_back)
{
    {
        memory_hold dropped(shared, held_for::answer);
        dropped.set(3 * small);
        answer.absorb(dropped);
        BOOST_TEST(dropped.bytes() == 0U);
    }
    BOOST_TEST(budget.held() == 3 * small);
    memory_hold moved = std::move(answer);
    BOOST_TEST(answer.bytes() == 0U);
    moved.set(0);
    BOOST_TEST(budget.held() == 0U);
    BOOST_TEST(budget.held_by_large(held_for::answer) == 0U);
}

// Guards against holds that are given back to a budget that is gone.
BOOST_AUTO_TEST_CASE(a_budget_lives_as_long_as_what_it_counts)
{
    auto own = std::make_shared<http::memory_budget>(budget.limits());
    const std::weak_ptr<http::memory_budget> watched = own;
    memory_hold last(own, held_for::answer);
    last.set(small);
    own.reset();
    BOOST_TEST(watched.lock()->held() == small);
    last = memory_hold();
    BOOST_TEST(watched.expired());
}

BOOST_AUTO_TEST_CASE(without_a_budget_everything_has_room)
{
    memory_hold uncounted;
    BOOST_TEST(uncounted.try_set(1000 * small));
    BOOST_TEST(uncounted.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_machines_memory_is_divided)
{
    constexpr std::size_t megabyte = 1U << 20U;
    const auto limits = http::divide_memory(100 * megabyte, 1000);
    BOOST_TEST(limits.total + 1000 * limits.receive_buffer <= 70 * megabyte);
    BOOST_TEST(limits.large_requests + limits.large_answers < limits.total);
    BOOST_TEST(http::divide_memory(100 * megabyte, 0).receive_buffer == 65536U);
}

BOOST_AUTO_TEST_SUITE_END()
