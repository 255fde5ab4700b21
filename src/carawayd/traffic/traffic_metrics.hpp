#pragma once

#include "libcaraway/attempts/outcome.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/metrics/registry.hpp"

#include <chrono>

namespace carawayd::traffic
{

/// The figures that the traffic threads keep. Any thread.
class traffic_metrics
{
public:
    explicit traffic_metrics(caraway::metrics::registry& registry);

    void request_ended(const caraway::base::service_id& service,
                       const caraway::base::workspace_id& workspace,
                       caraway::attempts::outcome outcome, std::chrono::nanoseconds took);
    void waited(const caraway::base::service_id& service, std::chrono::nanoseconds time);
    void first_data(const caraway::base::service_id& service, std::chrono::nanoseconds time);
    void tokens(const caraway::base::service_id& service, std::uint64_t count);
    void attempt_started(const caraway::base::service_id& service);
    void refused(int status);

private:
    caraway::metrics::registry& registry_;
};

}  // namespace carawayd::traffic
