// How a router's knowledge of streams and software versions outlives it: in other routers, and in
// the platform's store.
#include "libcaraway/router/daemon.hpp"

#include <utility>

namespace caraway::router
{

namespace
{

/// When a fleet starts, each router takes itself for the first of its zone until it knows others.
constexpr std::chrono::milliseconds record_start_delay{1000};
/// Routers hear of each other the later the more there are.
constexpr std::chrono::milliseconds record_start_delay_per_peer{25};

}  // namespace

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
    core_.find_stored_origin = [this](const auto& first_attempt, auto done)
    {
        stored_origins_.load([this, first_attempt, done = std::move(done)]
                             { done(origins_.find_here(first_attempt)); });
    };
    origins_.learned = [this](const auto& stream, const auto* teller)
    {
        if (is_stored_here(stream, teller))
        {
            stored_origins_.add(stream);
        }
    };
    origins_.writer = [this](const auto& stream)
    {
        const bool is_stored = stored_services_.contains(stream.origin.service);
        return is_stored ? zone_writer() : std::nullopt;
    };
}

void daemon::record_versions(base::time_point now)
{
    for (const auto& [id, upstream] : core_.directory.all())
    {
        core_.served_versions.record(upstream.service, upstream.software, now);
    }
    const auto before = std::exchange(stored_services_, services_of_several_versions(now));
    for (const auto& service : stored_services_)
    {
        if (!before.contains(service))
        {
            origins_.tell_again(service);
        }
    }
    keep_version_record(now);
}

void daemon::keep_version_record(base::time_point now)
{
    const auto start_delay =
        record_start_delay + static_cast<int>(peers_.size()) * record_start_delay_per_peer;
    if (now - started_ >= start_delay && !upstreams_->is_paused() && is_zone_writer())
    {
        versions_.keep_record(now);
    }
}

std::set<base::service_id> daemon::services_of_several_versions(base::time_point now) const
{
    std::set<base::service_id> services;
    const auto table = core_.table();
    if (!table)
    {
        return services;
    }
    for (const auto& route : table->accepted().routes)
    {
        const auto period = routing::resumable_period(route, core_.options.leaving_notice);
        for (const auto& each : route.services)
        {
            if (route.resumable && core_.served_versions.are_several(each.service, period, now))
            {
                services.insert(each.service);
            }
        }
    }
    return services;
}

bool daemon::is_zone_writer() const
{
    return relay_.first_poller(!upstreams_->is_paused(), core_.now()) == core_.options.name;
}

bool daemon::is_stored_here(const routing::known_stream& stream,
                            const routing::endpoint* teller) const
{
    if (!stored_services_.contains(stream.origin.service) || upstreams_->is_paused())
    {
        return false;
    }
    if (teller == nullptr)
    {
        return true;
    }
    const auto* peer = peers_.in_zone(*teller);
    return peer != nullptr && !relay_.polls_store(peer->id) && is_zone_writer();
}

std::optional<routing::endpoint> daemon::zone_writer() const
{
    if (!upstreams_->is_paused())
    {
        return std::nullopt;
    }
    const auto first = relay_.first_poller(false, core_.now());
    const auto found = first ? peers_.all().find(*first) : peers_.all().end();
    return found == peers_.all().end() ? std::nullopt : std::optional(found->second.datagrams);
}

}  // namespace caraway::router
