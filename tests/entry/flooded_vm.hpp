#pragma once

#include "libcaraway/routing/entry/overload_guard.hpp"
#include "libcaraway/routing/entry/workspace_parts.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace entry_tests
{

namespace entry = caraway::routing::entry;
using caraway::base::workspace_id;

/// Requests that a workspace sends per tick of 100 ms.
using demand = std::map<std::string, double>;

/// A VM with 0.12 cores at which several workspaces ask for streams. Each admitted request costs it
/// processor time, each refused one a fifth of that, and each stream as much as relaying its events
/// for about ten ticks. Work that is not done within a tick delays the next one.
class flooded_vm
{
public:
    static constexpr double cpu_ms_per_tick = 12;
    static constexpr double admission_cost_ms = 0.1;
    static constexpr double refusal_cost_ms = 0.02;
    static constexpr double stream_cost_ms = 0.1;

    struct counts
    {
        double asked = 0;
        double served = 0;

        double served_fraction() const
        {
            return asked > 0 ? served / asked : 1;
        }
    };

    /// `by_lot`: admits regardless of the workspace.
    explicit flooded_vm(bool by_lot = false) : by_lot_(by_lot) {}

    void tick(const demand& requests)
    {
        std::vector<std::string> arrivals;
        for (const auto& [workspace, rate] : requests)
        {
            std::poisson_distribution<int> number(rate);
            arrivals.insert(arrivals.end(), static_cast<std::size_t>(number(random_)), workspace);
        }
        std::shuffle(arrivals.begin(), arrivals.end(), random_);
        end_streams();
        double work_ms = 0;
        for (const auto& workspace : arrivals)
        {
            work_ms += admit(workspace) ? admission_cost_ms : refusal_cost_ms;
        }
        work_ms += static_cast<double>(active_) * stream_cost_ms;
        backlog_ms_ = std::max(0.0, backlog_ms_ + work_ms - cpu_ms_per_tick);
        const auto delay_ms = static_cast<int>(std::min(600.0, backlog_ms_ / 0.12));
        guard_.record_tick(std::chrono::milliseconds(3 + delay_ms), active_);
        parts_.advance(std::chrono::milliseconds(100));
    }

    void run(const demand& requests, int ticks)
    {
        for (int number = 0; number < ticks; ++number)
        {
            tick(requests);
        }
    }

    /// Counts since the last call.
    std::map<std::string, counts> take_counts()
    {
        return std::exchange(counts_, {});
    }

    const entry::overload_guard& guard() const
    {
        return guard_;
    }
    const entry::workspace_parts& parts() const
    {
        return parts_;
    }

private:
    /// A stream lasts for ten ticks on average.
    void end_streams()
    {
        for (auto& [name, count] : streams_)
        {
            std::binomial_distribution<std::size_t> ending(count, 0.1);
            const auto ended = ending(random_);
            count -= ended;
            active_ -= ended;
            for (std::size_t each = 0; each < ended; ++each)
            {
                parts_.record_ended(workspace_id(name));
            }
        }
    }

    bool admit(const std::string& name)
    {
        const entry::stream_effort effort{.tokens = 1000, .events = 20};
        const workspace_id workspace(name);
        parts_.record_asked(workspace, effort.work());
        const auto standing =
            by_lot_ ? entry::part_standing::competing : parts_.standing(workspace);
        const bool admitted =
            guard_.admits(effort, standing, active_, parts_.streams_within(), unit_(random_));
        auto& own = counts_[name];
        own.asked += 1;
        if (admitted)
        {
            own.served += 1;
            ++active_;
            ++streams_[name];
            parts_.record_started(workspace);
            parts_.record_admitted(workspace, effort.work());
        }
        return admitted;
    }

    bool by_lot_;
    entry::overload_guard guard_;
    entry::workspace_parts parts_;
    std::map<std::string, counts> counts_;
    std::mt19937 random_{7};
    std::uniform_real_distribution<double> unit_{0, 1};
    double backlog_ms_ = 0;
    std::size_t active_ = 0;
    std::map<std::string, std::size_t> streams_;
};

}  // namespace entry_tests
