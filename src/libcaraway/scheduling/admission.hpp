#pragma once

#include "libcaraway/scheduling/actions.hpp"
#include "libcaraway/scheduling/request.hpp"
#include "libcaraway/scheduling/request_queues.hpp"
#include "libcaraway/scheduling/service_directory.hpp"
#include "libcaraway/scheduling/service_rate.hpp"

#include <optional>

namespace caraway::scheduling
{

/// Decides whether a request is admitted to the queue. A request that cannot be served in time is
/// rejected immediately instead of when its deadline expires.
class admission
{
public:
    admission(const service_directory& directory, const request_queues& queues,
              const service_rate& rates);

    /// The reason to reject the request, or nothing if it is admitted.
    std::optional<rejection> check(const request& incoming, base::time_point now) const;
    /// The rejection for a queued request whose deadline has expired.
    rejection deadline_rejection(const account& key, base::time_point now) const;
    /// Estimated time until the requests now queued for the account have been started, within 1 to
    /// 60 s.
    std::chrono::milliseconds retry_after(const account& key, base::time_point now) const;

private:
    std::optional<rejection> check_allowed(const request& incoming) const;

    const service_directory& directory_;
    const request_queues& queues_;
    const service_rate& rates_;
};

}  // namespace caraway::scheduling
