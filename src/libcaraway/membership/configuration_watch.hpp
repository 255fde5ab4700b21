#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/messages.hpp"

#include <optional>

namespace caraway::membership
{

/// The newest configuration that anybody told of, against the one in force here.
class configuration_watch
{
public:
    explicit configuration_watch(base::node_id self);

    /// True if it is newer than all that was heard of, so that others should hear of it soon.
    bool set_own(base::config_version version, const config::sha256_hex& hash);
    /// What a peer says; `in_force` is its own version. True as above.
    bool hear(const configuration_ref& newest, base::config_version in_force,
              const base::node_id& peer, base::time_point now);

    base::config_version own() const
    {
        return own_;
    }
    const configuration_ref& newest() const
    {
        return newest_;
    }
    /// The newest mark, when this node is behind and it is time to say so (again).
    std::optional<configuration_ref> take_reminder(base::time_point now);
    std::optional<base::time_point> next_reminder() const;

private:
    base::node_id self_;
    base::config_version own_{};
    configuration_ref newest_;
    base::time_point remind_at_;
};

}  // namespace caraway::membership
