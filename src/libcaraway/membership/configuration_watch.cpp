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
    const bool is_news = version > newest_.version;
    newest_ = {.version = version, .hash = hash, .holder = self_};
    return is_news;
}

bool configuration_watch::hear(const configuration_ref& newest, base::config_version in_force,
                               const base::node_id& peer, base::time_point now)
{
    if (newest.version < newest_.version || newest.version == base::config_version{})
    {
        return false;
    }
    const bool peer_holds_it = in_force == newest.version;
    if (newest.version == newest_.version)
    {
        // The latest holder is the likeliest to be there still when it is asked.
        newest_.holder = own_ == newest_.version ? self_ : peer_holds_it ? peer : newest_.holder;
        return false;
    }
    newest_ = newest;
    newest_.holder = peer_holds_it ? peer : newest.holder;
    remind_at_ = now;
    return true;
}

std::optional<configuration_ref> configuration_watch::take_reminder(base::time_point now)
{
    if (own_ >= newest_.version || now < remind_at_)
    {
        return std::nullopt;
    }
    remind_at_ = now + reminder_interval;
    return newest_;
}

std::optional<base::time_point> configuration_watch::next_reminder() const
{
    if (own_ >= newest_.version)
    {
        return std::nullopt;
    }
    return remind_at_;
}

}  // namespace caraway::membership
