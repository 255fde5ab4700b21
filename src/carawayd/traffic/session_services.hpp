#pragma once

#include "carawayd/traffic/control_link.hpp"
#include "libcaraway/attempts/retry_policy.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <chrono>
#include <string>

namespace caraway::net
{
class http_client;
}
namespace carawayd::journal
{
class request_journal;
}

namespace carawayd::traffic
{

class traffic_metrics;
class traffic_worker;

/// Bounds on waiting for an upstream.
struct upstream_timeouts
{
    std::chrono::milliseconds connect{2000};
    std::chrono::milliseconds first_byte{60000};
    std::chrono::milliseconds progress{30000};
};

/// What the sessions of one traffic thread share. Outlives them.
struct session_services
{
    const caraway::base::clock& clock;
    caraway::base::node_ref self;
    const control_link& control;
    caraway::net::http_client& client;
    journal::request_journal& journal;
    traffic_metrics& metrics;
    caraway::attempts::retry_policy policy;
    upstream_timeouts timeouts;
    traffic_worker* worker = nullptr;
};

}  // namespace carawayd::traffic
