#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/config/configuration.hpp"

#include <cstdint>
#include <map>

namespace caraway::config
{

/// The operators and the approval rule that apply before any configuration is accepted.
struct bootstrap_options
{
    std::map<base::operator_id, operator_account> operators;
    /// Approvals by operators other than the proposer that version 1 requires.
    std::uint32_t approvals = 0;
};

}  // namespace caraway::config
