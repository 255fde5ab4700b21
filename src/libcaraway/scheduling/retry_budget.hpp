#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/options.hpp"

#include <map>

namespace caraway::scheduling
{

/// Limits the retries of each service to a fraction of its first attempts, so that failing
/// upstreams do not receive a multiple of their load.
class retry_budget
{
public:
    explicit retry_budget(const scheduler_options& options);

    void record_first_attempt(const base::service_id& service);
    /// Takes one retry from the budget; returns false if the budget is exhausted.
    bool take_retry(const base::service_id& service);

private:
    const scheduler_options& options_;
    std::map<base::service_id, double> tokens_;
};

}  // namespace caraway::scheduling
