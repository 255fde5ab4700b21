#include "libcaraway/scheduling/retry_budget.hpp"

#include <algorithm>

namespace caraway::scheduling
{

retry_budget::retry_budget(const scheduler_options& options) : options_(options) {}

void retry_budget::record_first_attempt(const base::service_id& service)
{
    auto& tokens = tokens_.emplace(service, options_.retry_budget_burst).first->second;
    tokens = std::min(tokens + options_.retry_budget_ratio, options_.retry_budget_burst);
}

bool retry_budget::take_retry(const base::service_id& service)
{
    auto& tokens = tokens_.emplace(service, options_.retry_budget_burst).first->second;
    if (tokens < 1)
    {
        return false;
    }
    tokens -= 1;
    return true;
}

}  // namespace caraway::scheduling
