#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstddef>
#include <limits>
#include <map>
#include <utility>

namespace caraway::routing::entry
{

/// How a workspace stands to its even part of what a VM can carry.
enum class part_standing
{
    /// It asks for no more than its part.
    within,
    /// It asks for more, and has been given less than its part or just that.
    competing,
    /// It asks for more, and has been given more than its part.
    ahead
};

struct workspace_parts_options
{
    /// Time constant with which past work is forgotten: a few times as long as a stream lasts.
    std::chrono::milliseconds memory{2000};
    /// For workspaces that compete, a VM is taken to carry this much more than it was given of
    /// late: they are held to within a tenth of each other, and none of its capacity stays unused.
    double headroom = 1.1;
    /// For the others it is taken to carry at most this much of what is asked, so that those that
    /// ask for most are always among those that compete.
    double max_within = 0.95;
    /// Workspaces counted apart. All beyond them are counted as one.
    std::size_t max_workspaces = 1024;
};

/// Divides what the processor of a VM can carry among the workspaces that ask there: max-min over
/// decayed counts of the work that each asked for and was given. A workspace that asks for less
/// than an even part gets all of it; the others get even parts of the rest.
class workspace_parts
{
public:
    explicit workspace_parts(workspace_parts_options options = {});

    /// Counts work that a workspace asks for, and work that was admitted. Ignored unless it is
    /// above 0 and finite.
    void record_asked(const base::workspace_id& workspace, double work);
    void record_admitted(const base::workspace_id& workspace, double work);
    /// Counts a request that is refused before it is read, with the work that the workspace's
    /// others ask for on average.
    void record_unread(const base::workspace_id& workspace);
    /// Counts the workspace's streams under way.
    void record_started(const base::workspace_id& workspace);
    void record_ended(const base::workspace_id& workspace);
    /// Lets the counts decay by the elapsed time and divides anew. Called periodically.
    void advance(base::duration elapsed);

    /// Work admitted since the last call, of all workspaces.
    double take_admitted()
    {
        return std::exchange(new_admitted_, 0);
    }

    part_standing standing(const base::workspace_id& workspace) const;
    /// Largest count of work asked for with which a workspace is within its part.
    double level() const
    {
        return level_within_;
    }
    /// Streams under way of the workspaces within their parts.
    std::size_t streams_within() const
    {
        return streams_within_;
    }
    /// Workspaces with a count.
    std::size_t size() const
    {
        return counts_.size();
    }

private:
    struct counts
    {
        /// Work asked for by `requests` requests, and admitted.
        double asked = 0;
        double requests = 0;
        double admitted = 0;
        std::size_t streams = 0;
    };

    counts& counts_of(const base::workspace_id& workspace);
    void set_levels();

    workspace_parts_options options_;
    std::map<base::workspace_id, counts> counts_;
    /// Workspaces beyond `max_workspaces`.
    counts others_;
    double new_admitted_ = 0;
    double level_within_ = std::numeric_limits<double>::infinity();
    /// Largest count of admitted work with which a workspace that competes isn't ahead.
    double level_competing_ = std::numeric_limits<double>::infinity();
    /// As of the last division, and started or ended since.
    std::size_t streams_within_ = 0;
};

}  // namespace caraway::routing::entry
