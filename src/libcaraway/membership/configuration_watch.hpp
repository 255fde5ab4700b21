#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/messages.hpp"

#include <optional>

namespace caraway::membership
{

/// Compares the newest configuration known in the fleet with the one in force on this node.
class configuration_watch
{
public:
    explicit configuration_watch(base::node_id self);

    /// Records the configuration in force on this node. True if it is newer than any known so far,
    /// so that peers should be notified soon.
    bool set_own(base::config_version version, const config::sha256_hex& hash);
    /// Records the newest configuration that `peer` announced; `peer_version` is the version in
    /// force on `peer`. True if the announced configuration is newer than any known so far.
    bool record_peer(const configuration_ref& newest, base::config_version peer_version,
                     const base::node_id& peer, base::time_point now);

    base::config_version own() const
    {
        return own_;
    }
    const configuration_ref& newest() const
    {
        return newest_;
    }
    /// The newest configuration known, if this node has an older one and a reminder is due;
    /// schedules the next reminder.
    std::optional<configuration_ref> take_reminder(base::time_point now);
    std::optional<base::time_point> next_reminder() const;

private:
    base::node_id self_;
    base::config_version own_{};
    configuration_ref newest_;
    base::time_point next_reminder_at_;
};

}  // namespace caraway::membership
