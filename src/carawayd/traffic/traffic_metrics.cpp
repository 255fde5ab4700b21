#include "carawayd/traffic/traffic_metrics.hpp"

#include "libcaraway/metrics/counter.hpp"
#include "libcaraway/metrics/histogram.hpp"

#include <string>

namespace carawayd::traffic
{

traffic_metrics::traffic_metrics(caraway::metrics::registry& registry) : registry_(registry) {}

void traffic_metrics::request_ended(const caraway::base::service_id& service,
                                    const caraway::base::workspace_id& workspace,
                                    caraway::attempts::outcome outcome,
                                    std::chrono::nanoseconds took)
{
    registry_
        .counter({"caraway_requests_total", "Requests ended, by outcome."},
                 {{"service", service.str()},
                  {"workspace", workspace.str()},
                  {"outcome", caraway::attempts::name(outcome)}})
        .add();
    registry_
        .histogram(
            {"caraway_request_seconds", "Time from a request's arrival to its end, in seconds."},
            {{"service", service.str()}})
        .observe(took);
}

void traffic_metrics::waited(const caraway::base::service_id& service,
                             std::chrono::nanoseconds time)
{
    registry_
        .histogram(
            {"caraway_queue_seconds", "Time in the queue before the first attempt, in seconds."},
            {{"service", service.str()}})
        .observe(time);
}

void traffic_metrics::first_data(const caraway::base::service_id& service,
                                 std::chrono::nanoseconds time)
{
    registry_
        .histogram({"caraway_first_data_seconds",
                    "Time from a request's arrival to the first data of its answer, in seconds."},
                   {{"service", service.str()}})
        .observe(time);
}

void traffic_metrics::tokens(const caraway::base::service_id& service, std::uint64_t count)
{
    registry_
        .counter({"caraway_tokens_total", "Tokens passed on to callers."},
                 {{"service", service.str()}})
        .add(count);
}

void traffic_metrics::attempt_started(const caraway::base::service_id& service)
{
    registry_
        .counter({"caraway_attempts_total", "Attempts sent to upstreams."},
                 {{"service", service.str()}})
        .add();
}

void traffic_metrics::refused(int status)
{
    registry_
        .counter({"caraway_refused_total", "Requests answered with an error of the router's own."},
                 {{"status", std::to_string(status)}})
        .add();
}

}  // namespace carawayd::traffic
