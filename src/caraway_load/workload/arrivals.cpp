#include "caraway_load/workload/arrivals.hpp"

#include "caraway_load/workload/random_source.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace caraway_load::workload
{

namespace
{

std::vector<double> router_weights(const workspace_load& workspace, std::uint32_t routers)
{
    std::vector<double> weights(routers);
    for (std::uint32_t router = 0; router < routers; ++router)
    {
        const std::uint32_t away = (router + routers - workspace.home % routers) % routers;
        weights[router] = std::pow(1.0 + away, -workspace.skew);
    }
    return weights;
}

std::uint32_t draw_length(const token_lengths& lengths, random_source& random)
{
    const double drawn = lengths.median * std::exp(lengths.sigma * random.normal());
    return static_cast<std::uint32_t>(
        std::clamp(std::round(drawn), 1.0, static_cast<double>(lengths.most)));
}

std::uint32_t draw_hint(const caller_habits& habits, std::uint32_t tokens, random_source& random)
{
    const bool without = random.uniform() < habits.without_hint;
    const double factor = std::pow(std::max(1.0, habits.hint_most), random.uniform());
    return without ? 0 : static_cast<std::uint32_t>(std::ceil(tokens * factor));
}

/// The largest factor of the workspace's demand, at which candidates are drawn and then thinned.
double peak_factor(const workspace_load& workspace)
{
    double peak = 1;
    for (const auto& change : workspace.changes)
    {
        peak *= std::max(1.0, change.factor);
    }
    return peak;
}

struct arrival_process
{
    std::uint32_t workspace = 0;
    call_kind kind = call_kind::model;
    double per_second = 0;
    std::uint64_t seed = 0;
};

void add_arrivals(const scenario& load, const arrival_process& process, std::vector<arrival>& all)
{
    if (process.per_second <= 0)
    {
        return;
    }
    const workspace_load& workspace = load.workspaces[process.workspace];
    const auto weights = router_weights(workspace, load.routers);
    const double peak = peak_factor(workspace);
    random_source random(process.seed);
    double at = random.exponential() / (process.per_second * peak);
    for (; at < load.duration_s; at += random.exponential() / (process.per_second * peak))
    {
        // Every candidate uses up the same number of random numbers, kept or not.
        arrival one{.at_s = at, .workspace = process.workspace, .kind = process.kind};
        const bool kept = random.uniform() * peak < demand_factor(workspace, at);
        one.tokens = draw_length(workspace.tokens, random);
        one.max_tokens = draw_hint(load.callers, one.tokens, random);
        one.streamed = random.uniform() < workspace.streamed;
        one.router = static_cast<std::uint32_t>(random.pick(weights));
        if (kept)
        {
            all.push_back(one);
        }
    }
}

}  // namespace

std::vector<arrival> make_arrivals(const scenario& load)
{
    std::vector<arrival> all;
    for (std::uint32_t i = 0; i < load.workspaces.size(); ++i)
    {
        const workspace_load& workspace = load.workspaces[i];
        const double tokens_per_second = workspace.demand * load.capacity();
        add_arrivals(load,
                     {.workspace = i,
                      .kind = call_kind::model,
                      .per_second = tokens_per_second / mean_tokens(workspace.tokens),
                      .seed = mixed_seed(load.seed, std::uint64_t{2} * i)},
                     all);
        add_arrivals(load,
                     {.workspace = i,
                      .kind = call_kind::plain,
                      .per_second = load.services.count == 0 ? 0 : workspace.plain_per_second,
                      .seed = mixed_seed(load.seed, std::uint64_t{2} * i + 1)},
                     all);
    }
    std::sort(all.begin(), all.end(),
              [](const arrival& a, const arrival& b) {
                  return std::tuple(a.at_s, a.workspace, a.kind) <
                         std::tuple(b.at_s, b.workspace, b.kind);
              });
    for (std::uint32_t i = 0; i < all.size(); ++i)
    {
        all[i].number = i;
    }
    return all;
}

double mean_tokens(const token_lengths& lengths)
{
    // E[min(X, most)] of a lognormal X, by the normal distribution's integral.
    const auto below = [](double x)
    {
        return 0.5 * std::erfc(-x / std::sqrt(2.0));
    };
    const double limit = static_cast<double>(lengths.most);
    if (lengths.sigma <= 0)
    {
        return std::min(lengths.median, limit);
    }
    const double d = std::log(limit / lengths.median) / lengths.sigma;
    const double mean = lengths.median * std::exp(lengths.sigma * lengths.sigma / 2);
    return mean * below(d - lengths.sigma) + limit * (1 - below(d));
}

double demand_factor(const workspace_load& workspace, double at_s)
{
    double factor = 1;
    for (const auto& change : workspace.changes)
    {
        factor *= at_s >= change.from_s && at_s < change.to_s ? change.factor : 1;
    }
    return factor;
}

}  // namespace caraway_load::workload
