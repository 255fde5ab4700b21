#include "second_usages.hpp"

#include <algorithm>
#include <limits>

namespace caraway::tests
{

namespace
{

/// Seconds that the FAIR rule looks at.
constexpr int fair_seconds = 6;

}  // namespace

second_usage& second_usages::of(const std::string& workspace, std::size_t second)
{
    auto& seconds = seconds_[workspace];
    seconds.resize(std::max(seconds.size(), second + 1));
    return seconds[second];
}

const second_usage& second_usages::at(const std::string& workspace, int second) const
{
    static const second_usage none;
    const auto found = seconds_.find(workspace);
    const auto index = static_cast<std::size_t>(second);
    return found != seconds_.end() && index < found->second.size() ? found->second[index] : none;
}

double second_usages::fairness(const std::string& workspace, int from, double slack_tokens) const
{
    double owed = 0;
    double begun = 0;
    for (int second = from; second < from + fair_seconds; ++second)
    {
        const auto& own = at(workspace, second);
        if (!own.waited)
        {
            return std::numeric_limits<double>::infinity();
        }
        double best = 0;
        for (const auto& [name, unused] : seconds_)
        {
            best = std::max(best, at(name, second).begun);
        }
        owed += std::min(own.asked, best) / 2;
        begun += own.begun;
    }
    owed -= slack_tokens;
    return owed <= 0 ? std::numeric_limits<double>::infinity() : begun / owed;
}

double second_usages::worst_fairness(int end, double slack_tokens) const
{
    double worst = std::numeric_limits<double>::infinity();
    for (int from = 0; from + fair_seconds <= end; ++from)
    {
        for (const auto& [name, unused] : seconds_)
        {
            worst = std::min(worst, fairness(name, from, slack_tokens));
        }
    }
    return worst;
}

}  // namespace caraway::tests
