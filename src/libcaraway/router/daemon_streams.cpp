// How a router's knowledge of streams and software versions outlives it: in other routers, and in
// the platform's store.
#include "libcaraway/router/daemon.hpp"

#include <algorithm>

namespace caraway::router
{

void daemon::connect_stream_origins()
{
    core_.record_origin = [this](const auto& first_attempt, const auto& origin, auto expires)
    {
        origins_.record(first_attempt, origin, expires);
    };
    core_.find_origin = [this](const auto& first_attempt, auto done)
    {
        origins_.find(first_attempt, std::move(done));
    };
    core_.confirm_versions = [this](auto period, auto done)
    {
        versions_.confirm(period, std::move(done));
    };
}

void daemon::record_versions(base::time_point now)
{
    for (const auto& [id, upstream] : core_.directory.all())
    {
        core_.served_versions.record(upstream.service, upstream.software, now);
    }
    if (!upstreams_->is_paused() && is_zone_writer())
    {
        versions_.keep_record(now);
    }
}

bool daemon::is_zone_writer() const
{
    return relay_.first_poller(!upstreams_->is_paused(), core_.now()) == core_.options.name;
}

}  // namespace caraway::router
