#pragma once

#include <map>
#include <string>
#include <vector>

namespace caraway::tests
{

/// Tokens of one workspace in one second, as its callers see them.
struct second_usage
{
    double asked = 0;
    double begun = 0;
    bool waited = false;
};

/// What workspaces asked and got second by second, and the FAIR rule on it.
class second_usages
{
public:
    /// The usage to be changed; `second` counts from 0.
    second_usage& of(const std::string& workspace, std::size_t second);
    /// The same for reading; nothing for a workspace or a second without any.
    const second_usage& at(const std::string& workspace, int second) const;

    /// What a workspace got in the six seconds from `from`, divided by what the FAIR rule owes it:
    /// half of what it asked or of what the best served one got, second by second, less
    /// `slack_tokens`. Infinite if nothing is owed, as it did not wait in each second.
    double fairness(const std::string& workspace, int from, double slack_tokens) const;
    /// The lowest fairness of any workspace in any six seconds that end by `end`.
    double worst_fairness(int end, double slack_tokens) const;

private:
    std::map<std::string, std::vector<second_usage>> seconds_;
};

}  // namespace caraway::tests
