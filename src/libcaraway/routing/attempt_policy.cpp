#include "libcaraway/routing/attempt_policy.hpp"

namespace caraway::routing
{

namespace
{

/// Connections tried for one request before it is refused: enough to pass over a zone's dead
/// upstreams, few enough to stay well inside what is on time.
constexpr std::uint32_t max_unreachable = 3;

next_step after_no_run(attempt_end end, const attempt_state& state)
{
    const bool unsent = end == attempt_end::unreachable;
    const bool allowed = unsent ? state.unreachable < max_unreachable : state.sent < state.max_sent;
    if (state.time_left && allowed)
    {
        return state.partly_delivered ? next_step::resume : next_step::try_again;
    }
    if (state.partly_delivered)
    {
        return next_step::break_off;
    }
    return state.may_have_run ? next_step::give_up : next_step::refuse;
}

next_step after_possible_run(const attempt_state& state)
{
    const bool allowed = state.time_left && state.sent < state.max_sent;
    if (state.partly_delivered)
    {
        return allowed && state.resumable ? next_step::resume : next_step::break_off;
    }
    return allowed && state.idempotent ? next_step::try_again : next_step::give_up;
}

}  // namespace

const char* name(attempt_end value)
{
    switch (value)
    {
    case attempt_end::answered:
        return "answered";
    case attempt_end::upstream_error:
        return "upstream_error";
    case attempt_end::refused:
        return "refused";
    case attempt_end::other_instance:
        return "other_instance";
    case attempt_end::unreachable:
        return "unreachable";
    case attempt_end::unknown:
        return "unknown";
    case attempt_end::broken:
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
    case next_step::try_again:
        return "try_again";
    case next_step::resume:
        return "resume";
    case next_step::refuse:
        return "refuse";
    case next_step::give_up:
        return "give_up";
    case next_step::break_off:
        return "break_off";
    }
    return "?";
}

next_step decide(attempt_end end, const attempt_state& state)
{
    switch (end)
    {
    case attempt_end::answered:
        return next_step::deliver;
    case attempt_end::upstream_error:
        if (state.partly_delivered)
        {
            return next_step::break_off;
        }
        return state.idempotent && state.time_left && state.sent < state.max_sent
                   ? next_step::try_again
                   : next_step::deliver;
    case attempt_end::refused:
    case attempt_end::other_instance:
    case attempt_end::unreachable:
        return after_no_run(end, state);
    case attempt_end::unknown:
    case attempt_end::broken:
        return after_possible_run(state);
    }
    return next_step::give_up;
}

}  // namespace caraway::routing
