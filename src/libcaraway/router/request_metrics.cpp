#include "libcaraway/router/request_metrics.hpp"

#include <algorithm>

namespace caraway::router
{

namespace
{

constexpr std::size_t max_reason_length = 24;
/// More than there are outcomes; further ones are looked up in the registry each time.
constexpr std::size_t max_known = 64;

void record(metrics::counter& requests, metrics::histogram& seconds, base::duration took)
{
    requests.add();
    seconds.observe(took);
}

}  // namespace

void request_metrics::record_end(std::string_view outcome, unsigned status, std::string_view reason,
                                 base::duration took)
{
    const auto short_reason = reason.substr(0, max_reason_length);
    const auto found = std::find_if(known_.begin(), known_.end(),
                                    [&](const auto& each) {
                                        return each.status == status && each.outcome == outcome &&
                                               each.reason == short_reason;
                                    });
    if (found != known_.end())
    {
        record(*found->requests, *found->seconds, took);
        return;
    }
    auto series = find_in_registry(outcome, status, short_reason);
    record(*series.requests, *series.seconds, took);
    if (known_.size() < max_known)
    {
        known_.push_back(std::move(series));
    }
}

request_metrics::outcome_series request_metrics::find_in_registry(std::string_view outcome,
                                                                  unsigned status,
                                                                  std::string_view reason)
{
    outcome_series series{
        .outcome = std::string(outcome), .status = status, .reason = std::string(reason)};
    series.requests =
        &all_.counter({.name = "caraway_requests_total", .help = "Requests ended, by outcome."},
                      {{"outcome", series.outcome},
                       {"status", std::to_string(status)},
                       {"reason", series.reason}});
    series.seconds =
        &all_.histogram({.name = "caraway_request_seconds",
                         .help = "Time from a request's first byte to its end, in seconds."},
                        {{"outcome", series.outcome}});
    return series;
}

}  // namespace caraway::router
