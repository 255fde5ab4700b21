#pragma once

#include "libcaraway/config/platform_action.hpp"
#include "libcaraway/config/records.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caraway::config
{

/// A change with all required approvals, and the revisions of the rows that were read for it.
struct approved_change
{
    change_record change;
    std::uint64_t change_rev = 0;
    /// Empty when there is no accepted configuration yet.
    std::optional<std::uint64_t> head_rev;
    std::vector<base::operator_id> approvers;
    std::string at;  ///< Time of acceptance, RFC 3339.
};

/// The transaction that accepts a change: head, change and log rows, each conditional on the
/// revision that was read, so that the transaction fails if any input of the decision has changed.
transact acceptance_writes(const approved_change& approved);

}  // namespace caraway::config
