#include "libcaraway/routing/attempt_policy.hpp"

namespace caraway::routing
{

namespace
{

/// Attempts without anything sent after which a request is refused: enough to skip the dead
/// upstreams of a zone, few enough to stay well within the latency target.
constexpr std::uint32_t max_unsent_attempts = 3;

next_step step_if_not_run(attempt_outcome outcome, const attempt_state& state)
{
    const bool unsent =
        outcome == attempt_outcome::unreachable || outcome == attempt_outcome::withheld;
    const bool allowed = unsent ? state.unsent < max_unsent_attempts : state.sent < state.max_sent;
    if (state.has_time_left && allowed)
    {
        return state.partly_delivered ? next_step::resume : next_step::retry;
    }
    if (state.partly_delivered)
    {
        return next_step::abort_answer;
    }
    return state.may_have_run ? next_step::give_up : next_step::refuse;
}

next_step step_if_possibly_run(const attempt_state& state)
{
    const bool allowed = state.has_time_left && state.sent < state.max_sent;
    if (state.partly_delivered)
    {
        return allowed && state.resumable ? next_step::resume : next_step::abort_answer;
    }
    return allowed && state.idempotent ? next_step::retry : next_step::give_up;
}

}  // namespace

const char* name(attempt_outcome value)
{
    switch (value)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::upstream_error:
        return "upstream_error";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::other_instance:
        return "other_instance";
    case attempt_outcome::unreachable:
        return "unreachable";
    case attempt_outcome::withheld:
        return "withheld";
    case attempt_outcome::unknown:
        return "unknown";
    case attempt_outcome::truncated:
        return "broken";
    }
    return "?";
}

const char* name(next_step value)
{
    switch (value)
    {
    case next_step::deliver:
        return "deliver";
    case next_step::retry:
        return "try_again";
    case next_step::resume:
        return "resume";
    case next_step::refuse:
        return "refuse";
    case next_step::give_up:
        return "give_up";
    case next_step::abort_answer:
        return "break_off";
    }
    return "?";
}

next_step decide(attempt_outcome outcome, const attempt_state& state)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        return next_step::deliver;
    case attempt_outcome::upstream_error:
        if (state.partly_delivered)
        {
            return next_step::abort_answer;
        }
        return state.idempotent && state.has_time_left && state.sent < state.max_sent
                   ? next_step::retry
                   : next_step::deliver;
    case attempt_outcome::refused:
    case attempt_outcome::other_instance:
    case attempt_outcome::unreachable:
    case attempt_outcome::withheld:
        return step_if_not_run(outcome, state);
    case attempt_outcome::unknown:
    case attempt_outcome::truncated:
        return step_if_possibly_run(state);
    }
    return next_step::give_up;
}

}  // namespace caraway::routing
