#include "libcaraway/routing/attempt_policy.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace caraway::routing;

namespace
{

constexpr std::array all_outcomes{attempt_outcome::answered,    attempt_outcome::upstream_error,
                                  attempt_outcome::refused,     attempt_outcome::other_instance,
                                  attempt_outcome::unreachable, attempt_outcome::unknown,
                                  attempt_outcome::truncated};

/// Calls `check` for all combinations of state flags, with one to three upstreams tried of two.
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
                                .unsent = sent,
                                .may_have_run = (bits & 8U) != 0,
                                .has_time_left = (bits & 16U) != 0};
            check(state);
        }
    }
}

bool rules_out_a_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::refused || outcome == attempt_outcome::other_instance ||
           outcome == attempt_outcome::unreachable;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(attempt_policies)

// Guards against running a request twice: the connection is closed before the answer arrives, and
// the missing answer is taken for "not run".
BOOST_AUTO_TEST_CASE(a_request_that_is_not_idempotent_is_resent_only_if_it_did_not_run)
{
    for (const auto outcome : all_outcomes)
    {
        for_all_states(
            [&](const attempt_state& state)
            {
                if (state.idempotent || state.resumable || rules_out_a_run(outcome))
                {
                    return;
                }
                const auto step = decide(outcome, state);
                BOOST_TEST((step != next_step::retry && step != next_step::resume));
            });
    }
}

// Guards against telling a caller that a request was not run, and thus having it sent again,
// although an upstream ran it: the answer of the first upstream is lost, a second one refuses the
// request, and only the last attempt is considered.
BOOST_AUTO_TEST_CASE(no_request_that_may_have_run_is_refused)
{
    for (const auto outcome : all_outcomes)
    {
        for_all_states(
            [&](const attempt_state& state)
            {
                if (decide(outcome, state) == next_step::refuse)
                {
                    BOOST_TEST(!state.may_have_run);
                    BOOST_TEST(!state.partly_delivered);
                    BOOST_TEST(rules_out_a_run(outcome));
                }
            });
    }
}

// Guards against a stream that looks complete without its last events: the upstream crashes midway,
// no other can resume the stream, and the answer is ended instead of aborted.
BOOST_AUTO_TEST_CASE(a_partly_delivered_answer_is_completed_resumed_or_aborted)
{
    for (const auto outcome : all_outcomes)
    {
        for_all_states(
            [&](attempt_state state)
            {
                state.partly_delivered = true;
                const auto step = decide(outcome, state);
                const bool valid =
                    step == next_step::abort_answer || step == next_step::resume ||
                    (step == next_step::deliver && outcome == attempt_outcome::answered);
                BOOST_TEST(valid);
            });
    }
}

BOOST_AUTO_TEST_CASE(no_request_is_sent_to_more_upstreams_than_its_route_allows)
{
    for (const auto outcome : all_outcomes)
    {
        for_all_states(
            [&](const attempt_state& state)
            {
                const auto step = decide(outcome, state);
                const bool resent = step == next_step::retry || step == next_step::resume;
                if (resent && outcome != attempt_outcome::unreachable)
                {
                    BOOST_TEST(state.sent < state.max_sent);
                }
            });
    }
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_without_an_answer_is_retried)
{
    const attempt_state state{.idempotent = true, .sent = 1, .max_sent = 2};

    BOOST_TEST((decide(attempt_outcome::unknown, state) == next_step::retry));
    BOOST_TEST((decide(attempt_outcome::upstream_error, state) == next_step::retry));
}

BOOST_AUTO_TEST_CASE(an_upstream_error_is_delivered_if_no_attempts_are_left)
{
    const attempt_state state{.idempotent = true, .sent = 2, .max_sent = 2};

    BOOST_TEST((decide(attempt_outcome::upstream_error, state) == next_step::deliver));
}

BOOST_AUTO_TEST_SUITE_END()
