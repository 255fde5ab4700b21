#include "caraway_load/report/figures.hpp"

#include "caraway_load/measures/call_history.hpp"
#include "caraway_load/report/control_summary.hpp"
#include "caraway_load/report/recovery_figures.hpp"

#include <algorithm>

namespace caraway_load::report
{

namespace
{

using calls::attempt_end;
using calls::call_record;
using measures::interval;

constexpr double percent = 100;

/// Values of single requests, from which the distributions are made.
struct collected_values
{
    std::vector<double> first_token_s;
    std::vector<double> between_tokens_s;
    std::vector<double> wait_s;
    std::vector<double> plain_answer_s;
};

/// From when a caller first wanted the answer, its retries included.
void collect_tokens(const call_record& call, collected_values& values)
{
    if (!call.asked.streamed || call.attempts.empty() || call.attempts.back().token_s.empty())
    {
        return;
    }
    const auto& tokens = call.attempts.back().token_s;
    values.first_token_s.push_back(tokens.front() - call.asked.at_s);
    for (std::size_t i = 1; i < tokens.size(); ++i)
    {
        values.between_tokens_s.push_back(tokens[i] - tokens[i - 1]);
    }
}

void collect(const workload::scenario& load, const call_record& call, double end_s,
             collected_values& values)
{
    if (call.asked.kind == workload::call_kind::plain)
    {
        if (call.answered())
        {
            values.plain_answer_s.push_back(*call.attempts.back().ended_s - call.asked.at_s);
        }
        return;
    }
    collect_tokens(call, values);
    if (!call.attempts.empty())
    {
        const auto times = measures::times_of(load, call.asked, call.attempts.back(), end_s);
        if (times.running)
        {
            values.wait_s.push_back(times.running->from_s - call.asked.at_s);
        }
    }
}

void count(const call_record& call, figures& sum)
{
    ++sum.requests;
    sum.answered += call.answered() ? 1 : 0;
    sum.unfinished += call.over ? 0 : 1;
    sum.given_up += call.over && !call.answered() ? 1 : 0;
    sum.retries += call.attempts.empty() ? 0 : call.attempts.size() - 1;
    for (const auto& attempt : call.attempts)
    {
        sum.broken_connections += attempt.end == attempt_end::broken ? 1 : 0;
        if (attempt.end == attempt_end::refused)
        {
            ++sum.refused_by_code[std::to_string(attempt.status) + ' ' + attempt.code];
        }
    }
}

bool in_window(const call_record& call, const interval& window)
{
    return call.asked.at_s >= window.from_s && call.asked.at_s < window.to_s;
}

workspace_figures figures_of_workspace(const run::load_run_options& options,
                                       const run::run_log& log,
                                       const measures::call_history& history, std::size_t index,
                                       const interval& window)
{
    const auto& workspace = options.load.workspaces[index];
    const auto& service = history.workspaces[index];
    workspace_figures one{.id = workspace.id, .share = workspace.share};
    collected_values values;
    for (const auto& call : log.calls)
    {
        const bool mine = call.asked.workspace == index && in_window(call, window) &&
                          call.asked.kind == workload::call_kind::model;
        if (mine)
        {
            ++one.requests;
            one.answered += call.answered() ? 1 : 0;
            collect(options.load, call, log.end_s, values);
        }
    }
    const auto from =
        std::lower_bound(service.token_s.begin(), service.token_s.end(), window.from_s);
    const auto to = std::lower_bound(from, service.token_s.end(), window.to_s);
    one.weighted_service = static_cast<double>(to - from) / workspace.share;
    one.backlogged = total_length(clipped(service.backlogged, window)) / window.length();
    one.wait_s = measures::distribution_of(values.wait_s);
    one.longest_wait_s = history.longest_wait_s[index];
    one.longest_unserved_wait_s = history.longest_unserved_wait_s[index];
    one.first_token_s = measures::distribution_of(values.first_token_s);
    return one;
}

/// Tokens by share from the window's start up to each second of it.
std::vector<double> service_by_second(const measures::workspace_service& service,
                                      const interval& window)
{
    std::vector<double> sums;
    const auto from =
        std::lower_bound(service.token_s.begin(), service.token_s.end(), window.from_s);
    for (double at = window.from_s + 1; at <= window.to_s; at += 1)
    {
        const auto to = std::lower_bound(from, service.token_s.end(), at);
        sums.push_back(static_cast<double>(to - from) / service.share);
    }
    return sums;
}

void add_service(const run::load_run_options& options, const run::run_log& log,
                 const measures::call_history& history, figures& all)
{
    const auto& load = options.load;
    all.gap = measures::largest_gap(history.workspaces, all.window);
    all.gap_in_requests = all.mean_tokens > 0 ? all.gap.tokens / all.mean_tokens : 0;
    all.used_by_engines =
        measures::utilisation_by_engines(log.engines, history.work_waits, all.window);
    all.used_by_callers = measures::utilisation_by_callers(
        history.running, load.engines.count * load.engines.slots, history.work_waits, all.window);
    all.work_waits_s = total_length(clipped(history.work_waits, all.window));
    for (std::size_t i = 0; i < load.workspaces.size(); ++i)
    {
        all.workspaces.push_back(figures_of_workspace(options, log, history, i, all.window));
        all.service_over_time.push_back(service_by_second(history.workspaces[i], all.window));
        all.tokens_per_second +=
            all.workspaces.back().weighted_service * load.workspaces[i].share / all.window.length();
    }
}

}  // namespace

figures make_figures(const run::load_run_options& options, const run::run_log& log)
{
    const auto& load = options.load;
    figures all;
    all.window = {load.warm_up_s, load.duration_s};
    all.capacity = load.capacity();
    collected_values values;
    double tokens = 0;
    std::size_t model_calls = 0;
    for (const auto& call : log.calls)
    {
        count(call, all);
        const bool model = call.asked.kind == workload::call_kind::model;
        model_calls += model ? 1 : 0;
        tokens += model ? call.asked.tokens : 0;
        if (in_window(call, all.window))
        {
            collect(load, call, log.end_s, values);
        }
    }
    all.mean_tokens = model_calls > 0 ? tokens / static_cast<double>(model_calls) : 0;
    all.first_token_s = measures::distribution_of(values.first_token_s);
    all.between_tokens_s = measures::distribution_of(values.between_tokens_s);
    all.wait_s = measures::distribution_of(values.wait_s);
    all.plain_answer_s = measures::distribution_of(values.plain_answer_s);
    const auto history = measures::make_history(load, log.calls, all.window, log.end_s);
    add_service(options, log, history, all);
    all.broken = measures::check_promises(log.calls, log.upstreams);
    all.idle = summarise_control(log.routers.idle_from, log.routers.idle_to);
    all.loaded = summarise_control(log.routers.from, log.routers.to);
    all.recoveries = make_recoveries(options, log, history);
    all.generator_cpu = percent * log.generator_cpu_s / load.duration_s;
    return all;
}

}  // namespace caraway_load::report
