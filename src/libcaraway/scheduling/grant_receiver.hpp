#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace caraway::scheduling
{

/// Receives grants at a router. Each grant of an owner is handled once, also if lists of grants are
/// repeated or delayed.
class grant_receiver
{
public:
    /// Returns the grants of the list that have not been handled yet, in order, and marks them as
    /// handled.
    std::vector<grant> accept(const base::node_ref& owner, const grant_list& list);
    void record_declined(const base::node_ref& owner, base::grant_number number);

    /// The acknowledgement in a report to the owner: the last grant handled, and the latest grants
    /// that were declined.
    base::grant_number last(const base::node_ref& owner) const;
    std::vector<base::grant_number> declined(const base::node_ref& owner) const;

    /// Removes the incarnations of owners for which `alive` returns false.
    void retain(const std::function<bool(const base::node_ref&)>& alive);

private:
    struct owner_state
    {
        base::grant_number last{};
        std::deque<base::grant_number> declined;
    };

    std::map<base::node_ref, owner_state> owners_;
};

}  // namespace caraway::scheduling
