#include "libcaraway/membership/configuration_watch.hpp"

#include <utility>

namespace caraway::membership
{

namespace
{

constexpr auto reminder_interval = std::chrono::seconds(2);

}  // namespace

configuration_watch::configuration_watch(base::node_id self) : self_(std::move(self)) {}

bool configuration_watch::set_own(base::config_version version, const config::sha256_hex& hash)
{
    if (version <= own_)
    {
        return false;
    }
    own_ = version;
    if (version < newest_.version)
    {
        return false;
    }
    const bool is_newer = version > newest_.version;
    newest_ = {.version = version, .hash = hash, .holder = self_};
    return is_newer;
}

bool configuration_watch::record_peer(const configuration_ref& newest,
                                      base::config_version peer_version, const base::node_id& peer,
                                      base::time_point now)
{
    if (newest.version < newest_.version || newest.version == base::config_version{})
    {
        return false;
    }
    const bool peer_has_version = peer_version == newest.version;
    if (newest.version == newest_.version)
    {
        // The most recently seen holder is the most likely to be reachable when the configuration
        // is fetched.
        newest_.holder = own_ == newest_.version ? self_ : peer_has_version ? peer : newest_.holder;
        return false;
    }
    newest_ = newest;
    newest_.holder = peer_has_version ? peer : newest.holder;
    next_reminder_at_ = now;
    return true;
}

std::optional<configuration_ref> configuration_watch::take_reminder(base::time_point now)
{
    if (own_ >= newest_.version || now < next_reminder_at_)
    {
        return std::nullopt;
    }
    next_reminder_at_ = now + reminder_interval;
    return newest_;
}

std::optional<base::time_point> configuration_watch::next_reminder() const
{
    if (own_ >= newest_.version)
    {
        return std::nullopt;
    }
    return next_reminder_at_;
}

}  // namespace caraway::membership
