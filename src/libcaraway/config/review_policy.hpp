#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/config/records.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace caraway::config
{

/// Approvals required for a part when there is neither a rule for it nor one for "*".
inline constexpr std::uint32_t default_approvals = 1;

/// Approvals required for one part: by its own rule, else by that of "*", else the default.
std::uint32_t approvals_for(const configuration& accepted, const std::string& part);

/// Number of operators other than the proposer who must approve a change of these parts: the
/// highest number required for any of them. `accepted` is the configuration at the change's base,
/// never the proposed one.
std::uint32_t required_approvals(const configuration& accepted, const std::set<std::string>& parts);

/// Operators whose approvals count: those who may approve according to `accepted`, except for the
/// proposer, each counted once, and only for approvals of exactly this document and base.
std::set<base::operator_id> counted_approvers(const configuration& accepted,
                                              const change_record& change);

/// The operator who holds this key, or null. Compares with every key in constant time, so that the
/// duration does not reveal which key matched.
const operator_account* find_operator(const configuration& accepted, const sha256_hex& key_hash);

/// Checks that a configuration has an operator who can propose and enough others to approve any
/// change. The text says what is missing; empty when nothing is.
std::string lockout_reason(const configuration& proposed);

}  // namespace caraway::config
