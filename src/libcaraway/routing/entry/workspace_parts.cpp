#include "libcaraway/routing/entry/workspace_parts.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace caraway::routing::entry
{

namespace
{

/// Counts below this are dropped: a hundredth of relaying one event.
constexpr double min_count = 0.01;
/// Work of a request of a workspace of which none was read: a short stream.
constexpr double default_work = 30;

bool is_work(double work)
{
    return std::isfinite(work) && work > 0;
}

/// The level at which `capacity` is divided among those who ask, in ascending order: each gets what
/// it asks for up to the level. Infinite if there is enough for all.
double max_min_level(const std::vector<double>& asked, double capacity)
{
    auto rest = capacity;
    auto askers = asked.size();
    for (const auto each : asked)
    {
        const auto even_part = rest / static_cast<double>(askers);
        if (each > even_part)
        {
            return even_part;
        }
        rest -= each;
        --askers;
    }
    return std::numeric_limits<double>::infinity();
}

}  // namespace

workspace_parts::workspace_parts(workspace_parts_options options) : options_(options) {}

workspace_parts::counts& workspace_parts::counts_of(const base::workspace_id& workspace)
{
    const auto found = counts_.find(workspace);
    if (found != counts_.end())
    {
        return found->second;
    }
    return counts_.size() < options_.max_workspaces ? counts_[workspace] : others_;
}

void workspace_parts::record_asked(const base::workspace_id& workspace, double work)
{
    if (is_work(work))
    {
        auto& own = counts_of(workspace);
        own.asked += work;
        own.requests += 1;
    }
}

void workspace_parts::record_unread(const base::workspace_id& workspace)
{
    auto& own = counts_of(workspace);
    own.asked += own.requests > 0 ? own.asked / own.requests : default_work;
    own.requests += 1;
}

void workspace_parts::record_admitted(const base::workspace_id& workspace, double work)
{
    if (is_work(work))
    {
        counts_of(workspace).admitted += work;
        new_admitted_ += work;
    }
}

void workspace_parts::record_started(const base::workspace_id& workspace)
{
    ++counts_of(workspace).streams;
    streams_within_ += standing(workspace) == part_standing::within ? 1 : 0;
}

void workspace_parts::record_ended(const base::workspace_id& workspace)
{
    auto& own = counts_of(workspace);
    own.streams -= own.streams > 0 ? 1 : 0;
    if (streams_within_ > 0 && standing(workspace) == part_standing::within)
    {
        --streams_within_;
    }
}

void workspace_parts::advance(base::duration elapsed)
{
    if (elapsed <= base::duration::zero())
    {
        return;
    }
    using real_seconds = std::chrono::duration<double>;
    const auto kept = std::exp(-(real_seconds(elapsed) / real_seconds(options_.memory)));
    const auto decay = [&](counts& each)
    {
        each.asked *= kept;
        each.requests *= kept;
        each.admitted *= kept;
    };
    for (auto& [unused, each] : counts_)
    {
        decay(each);
    }
    decay(others_);
    std::erase_if(counts_,
                  [](const auto& entry)
                  {
                      const auto& each = entry.second;
                      return std::max(each.asked, each.admitted) < min_count && each.streams == 0;
                  });
    if (others_.asked < min_count)
    {
        // Streams that were counted here may end under a count of their workspace's own.
        others_ = {};
    }
    set_levels();
}

void workspace_parts::set_levels()
{
    std::vector<double> asked;
    asked.reserve(counts_.size() + 1);
    double admitted = 0;
    double total = 0;
    const auto add = [&](const counts& each)
    {
        asked.push_back(each.asked);
        total += each.asked;
        admitted += each.admitted;
    };
    for (const auto& [unused, each] : counts_)
    {
        add(each);
    }
    add(others_);
    std::sort(asked.begin(), asked.end());
    level_within_ = max_min_level(asked, std::min(admitted, options_.max_within * total));
    level_competing_ = max_min_level(asked, options_.headroom * admitted);
    streams_within_ = others_.asked <= level_within_ ? others_.streams : 0;
    for (const auto& [unused, each] : counts_)
    {
        streams_within_ += each.asked <= level_within_ ? each.streams : 0;
    }
}

part_standing workspace_parts::standing(const base::workspace_id& workspace) const
{
    const auto found = counts_.find(workspace);
    const bool is_counted = found != counts_.end();
    const auto& own = is_counted ? found->second : others_;
    const bool is_new = !is_counted && counts_.size() < options_.max_workspaces;
    if (is_new || own.asked <= level_within_)
    {
        return part_standing::within;
    }
    return own.admitted <= level_competing_ ? part_standing::competing : part_standing::ahead;
}

}  // namespace caraway::routing::entry
