#pragma once

#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace caraway::routing
{

/// Which entries of a table changed, in order, so that whoever holds an earlier state of it can be
/// told the difference alone. The oldest changes are forgotten.
class change_log
{
public:
    explicit change_log(std::size_t most = 4096);

    void record(const base::upstream_id& id);
    /// Counts all changes so far.
    std::uint64_t position() const
    {
        return position_;
    }
    /// Each entry that changed after that position, once; nothing: some of it is forgotten, or
    /// that position isn't of this log.
    std::optional<std::vector<base::upstream_id>> since(std::uint64_t position) const;

private:
    std::size_t most_;
    std::uint64_t position_ = 0;
    std::deque<base::upstream_id> last_;
};

}  // namespace caraway::routing
