#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/metrics/registry.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace caraway::router
{

/// Metrics of ended requests. Keeps the series that it has used: finding one in the registry by its
/// labels takes several times the instructions of counting.
class request_metrics
{
public:
    explicit request_metrics(metrics::registry& all) : all_(all) {}

    /// `status` is 0 for a request without an answer; `reason` is cut to 24 characters.
    void record_end(std::string_view outcome, unsigned status, std::string_view reason,
                    base::duration took);

private:
    struct outcome_series
    {
        std::string outcome;
        unsigned status = 0;
        std::string reason;
        metrics::counter* requests = nullptr;
        metrics::histogram* seconds = nullptr;
    };

    outcome_series find_in_registry(std::string_view outcome, unsigned status,
                                    std::string_view reason);

    metrics::registry& all_;
    std::vector<outcome_series> known_;
};

}  // namespace caraway::router
