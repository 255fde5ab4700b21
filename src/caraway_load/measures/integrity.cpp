#include "caraway_load/measures/integrity.hpp"

namespace caraway_load::measures
{

namespace
{

using calls::answer_fault;
using calls::attempt_end;

void check_answer(const calls::call_record& call, broken_promises& broken)
{
    broken.mixed_up += call.fault == answer_fault::mixed_up ? 1 : 0;
    broken.cut_looked_complete += call.fault == answer_fault::cut ? 1 : 0;
    broken.doubled_tokens += call.fault == answer_fault::doubled ? 1 : 0;
}

void check_model_attempt(const calls::attempt_record& attempt, const upstream_logs& logs,
                         broken_promises& broken)
{
    const auto found = logs.model.find(attempt.id);
    const upstream_counts ran = found == logs.model.end() ? upstream_counts() : found->second;
    const bool answered = attempt.end == attempt_end::answered;
    broken.answered_without_run += logs.complete && answered && ran.finished == 0 ? 1 : 0;
    broken.not_run_yet_ran += attempt.outcome == "not_run" && ran.started > 0 ? 1 : 0;
    broken.model_run_again += ran.started > 1 ? 1 : 0;
}

void check_plain_call(const calls::call_record& call, const upstream_logs& logs,
                      broken_promises& broken)
{
    const auto found = logs.plain_runs.find(calls::plain_key(call.asked.number));
    const int runs = found == logs.plain_runs.end() ? 0 : found->second;
    broken.plain_run_twice += runs > 1 ? 1 : 0;
    broken.plain_answered_not_run += logs.complete && call.answered() && runs == 0 ? 1 : 0;
    const bool told_not_run = !call.attempts.empty() && call.attempts.back().outcome == "not_run";
    broken.not_run_yet_ran += told_not_run && call.attempts.size() == 1 && runs > 0 ? 1 : 0;
}

}  // namespace

broken_promises check_promises(const std::vector<calls::call_record>& calls,
                               const upstream_logs& logs)
{
    broken_promises broken;
    for (const auto& call : calls)
    {
        if (call.answered())
        {
            check_answer(call, broken);
        }
        if (call.asked.kind == workload::call_kind::plain)
        {
            check_plain_call(call, logs, broken);
            continue;
        }
        for (const auto& attempt : call.attempts)
        {
            check_model_attempt(attempt, logs, broken);
        }
    }
    return broken;
}

}  // namespace caraway_load::measures
