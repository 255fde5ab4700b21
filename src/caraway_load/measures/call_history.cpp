#include "caraway_load/measures/call_history.hpp"

#include <algorithm>

namespace caraway_load::measures
{

namespace
{

constexpr double ms_per_second = 1000;

/// What is left of `whole` once `hole` is taken out.
intervals without(const interval& whole, const interval& hole)
{
    return {{.from_s = whole.from_s, .to_s = std::min(whole.to_s, hole.from_s)},
            {.from_s = std::max(whole.from_s, hole.to_s), .to_s = whole.to_s}};
}

/// What waits at a frozen router can be served by nobody, so it doesn't count as waiting work.
intervals servable_waits(const workload::scenario& load, std::uint32_t router,
                         const interval& waiting)
{
    intervals parts{waiting};
    for (const auto& fault : load.faults)
    {
        if (fault.kind != workload::fault_kind::freeze_router || fault.index != router)
        {
            continue;
        }
        const interval frozen{.from_s = fault.at_s, .to_s = fault.at_s + fault.for_s};
        intervals rest;
        for (const interval& part : parts)
        {
            for (const interval& piece : without(part, frozen))
            {
                rest.push_back(piece);
            }
        }
        parts = union_of(rest);
    }
    return parts;
}

void add_tokens(const workload::scenario& load, const workload::arrival& asked,
                const calls::attempt_record& attempt, const attempt_times& times,
                std::vector<double>& tokens)
{
    if (asked.streamed)
    {
        tokens.insert(tokens.end(), attempt.token_s.begin(), attempt.token_s.end());
        return;
    }
    if (attempt.end != calls::attempt_end::answered)
    {
        return;
    }
    const double token_s = load.engines.token_ms / ms_per_second;
    for (std::uint32_t i = 0; i < asked.tokens; ++i)
    {
        tokens.push_back(times.running->to_s - token_s * (asked.tokens - 1 - i));
    }
}

void add_call(const workload::scenario& load, const calls::call_record& call,
              const interval& window, double run_end_s, call_history& history)
{
    const std::size_t workspace = call.asked.workspace;
    for (const auto& attempt : call.attempts)
    {
        const attempt_times times = times_of(load, call.asked, attempt, run_end_s);
        for (const interval& part : servable_waits(load, attempt.router, times.waiting))
        {
            history.workspaces[workspace].backlogged.push_back(part);
            history.work_waits.push_back(part);
        }
        if (times.running)
        {
            history.running.push_back(*times.running);
            add_tokens(load, call.asked, attempt, times, history.workspaces[workspace].token_s);
        }
        if (attempt.sent_s >= window.from_s && attempt.sent_s < window.to_s)
        {
            double& longest = times.running ? history.longest_wait_s[workspace]
                                            : history.longest_unserved_wait_s[workspace];
            longest = std::max(longest, times.waiting.length());
        }
    }
}

}  // namespace

attempt_times times_of(const workload::scenario& load, const workload::arrival& asked,
                       const calls::attempt_record& attempt, double run_end_s)
{
    const double ended = attempt.ended_s.value_or(run_end_s);
    const bool refused = attempt.end == calls::attempt_end::refused;
    if (asked.streamed && attempt.first_byte_s && !refused)
    {
        return {.waiting = {attempt.sent_s, *attempt.first_byte_s},
                .running = interval{*attempt.first_byte_s, ended}};
    }
    if (!asked.streamed && attempt.end == calls::attempt_end::answered)
    {
        const double ran_s =
            load.engines.token_ms * static_cast<double>(asked.tokens) / ms_per_second;
        const double started = std::max(attempt.sent_s, ended - ran_s);
        return {.waiting = {attempt.sent_s, started}, .running = interval{started, ended}};
    }
    if (!asked.streamed && !refused)
    {
        // It may have run all the time or not at all; nothing tells. Counted as neither.
        return {.waiting = {attempt.sent_s, attempt.sent_s}, .running = std::nullopt};
    }
    return {.waiting = {attempt.sent_s, ended}, .running = std::nullopt};
}

call_history make_history(const workload::scenario& load,
                          const std::vector<calls::call_record>& calls, const interval& window,
                          double run_end_s)
{
    call_history history;
    history.longest_wait_s.resize(load.workspaces.size());
    history.longest_unserved_wait_s.resize(load.workspaces.size());
    for (const auto& workspace : load.workspaces)
    {
        history.workspaces.push_back({.share = workspace.share, .backlogged = {}, .token_s = {}});
    }
    for (const auto& call : calls)
    {
        if (call.asked.kind == workload::call_kind::model)
        {
            add_call(load, call, window, run_end_s, history);
        }
    }
    for (workspace_service& one : history.workspaces)
    {
        one.backlogged = union_of(std::move(one.backlogged));
        std::sort(one.token_s.begin(), one.token_s.end());
    }
    history.work_waits = union_of(std::move(history.work_waits));
    return history;
}

}  // namespace caraway_load::measures
