#pragma once

#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace caraway::routing
{

/// The ids of a table's entries in the order of their changes, so that a peer with an earlier state
/// of the table can be sent only the difference. Holds the last `capacity` changes and evicts older
/// ones.
class change_log
{
public:
    explicit change_log(std::size_t capacity = 4096);

    void record(const base::upstream_id& id);
    /// The number of changes so far.
    std::uint64_t position() const
    {
        return position_;
    }
    /// Each entry that changed after `position`, once. Empty if some of these changes have been
    /// evicted or `position` is beyond the end of this log.
    std::optional<std::vector<base::upstream_id>> since(std::uint64_t position) const;

private:
    std::size_t capacity_;
    std::uint64_t position_ = 0;
    std::deque<base::upstream_id> recent_;
};

}  // namespace caraway::routing
