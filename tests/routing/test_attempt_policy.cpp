#include "libcaraway/routing/attempt_policy.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace caraway::routing;

namespace
{

constexpr std::array all_ends{attempt_outcome::answered,    attempt_outcome::upstream_error,
                              attempt_outcome::refused,     attempt_outcome::other_instance,
                              attempt_outcome::unreachable, attempt_outcome::unknown,
                              attempt_outcome::truncated};

/// All combinations of what a request may still do.
template <class Check>
void for_all_states(Check check)
{
    for (unsigned bits = 0; bits < 32; ++bits)
    {
        for (std::uint32_t sent = 1; sent <= 3; ++sent)
        {
            attempt_state state{.idempotent = (bits & 1U) != 0,
                                .resumable = (bits & 2U) != 0,
                                .partly_delivered = (bits & 4U) != 0,
                                .sent = sent,
                                .max_sent = 2,
                                .unreachable = sent,
                                .may_have_run = (bits & 8U) != 0,
                                .has_time_left = (bits & 16U) != 0};
            check(state);
        }
    }
}

bool tells_whether_it_ran(attempt_outcome end)
{
    return end == attempt_outcome::refused || end == attempt_outcome::other_instance ||
           end == attempt_outcome::unreachable;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(attempt_policies)

// Symptom: a pickup was confirmed twice.
// Sequence: the confirmation was sent, the connection was cut before its answer, it was sent again.
// Cause: silence was taken for "not run".
BOOST_AUTO_TEST_CASE(what_is_not_idempotent_is_sent_again_only_if_it_provably_did_not_run)
{
    for (const auto end : all_ends)
    {
        for_all_states(
            [&](const attempt_state& state)
            {
                if (state.idempotent || state.resumable || tells_whether_it_ran(end))
                {
                    return;
                }
                const auto step = decide(end, state);
                BOOST_TEST((step != next_step::retry && step != next_step::resume));
            });
    }
}

// Symptom: a caller was told "not run" and came back with a request that had run.
// Sequence: a first upstream's answer was lost, a second one refused the request.
// Cause: only the last attempt was looked at.
BOOST_AUTO_TEST_CASE(nothing_that_may_have_run_is_refused)
{
    for (const auto end : all_ends)
    {
        for_all_states(
            [&](const attempt_state& state)
            {
                if (decide(end, state) == next_step::refuse)
                {
                    BOOST_TEST(!state.may_have_run);
                    BOOST_TEST(!state.partly_delivered);
                    BOOST_TEST(tells_whether_it_ran(end));
                }
            });
    }
}

// Symptom: a stream ended as if it were complete, without its last events.
// Sequence: the upstream crashed midway; no other could go on.
// Cause: the answer was ended instead of broken off.
BOOST_AUTO_TEST_CASE(an_answer_that_began_is_completed_resumed_or_broken_off)
{
    for (const auto end : all_ends)
    {
        for_all_states(
            [&](attempt_state state)
            {
                state.partly_delivered = true;
                const auto step = decide(end, state);
                const bool right = step == next_step::abort_answer || step == next_step::resume ||
                                   (step == next_step::deliver && end == attempt_outcome::answered);
                BOOST_TEST(right);
            });
    }
}

BOOST_AUTO_TEST_CASE(no_request_is_sent_to_more_upstreams_than_its_route_allows)
{
    for (const auto end : all_ends)
    {
        for_all_states(
            [&](const attempt_state& state)
            {
                const auto step = decide(end, state);
                const bool again = step == next_step::retry || step == next_step::resume;
                if (again && end != attempt_outcome::unreachable)
                {
                    BOOST_TEST(state.sent < state.max_sent);
                }
            });
    }
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_whose_answer_was_lost_is_sent_again)
{
    const attempt_state state{.idempotent = true, .sent = 1, .max_sent = 2};

    BOOST_TEST((decide(attempt_outcome::unknown, state) == next_step::retry));
    BOOST_TEST((decide(attempt_outcome::upstream_error, state) == next_step::retry));
}

BOOST_AUTO_TEST_CASE(a_failure_of_the_upstream_is_delivered_when_nothing_is_left_to_try)
{
    const attempt_state state{.idempotent = true, .sent = 2, .max_sent = 2};

    BOOST_TEST((decide(attempt_outcome::upstream_error, state) == next_step::deliver));
}

BOOST_AUTO_TEST_SUITE_END()
