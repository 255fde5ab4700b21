#include "libcaraway/router/settings_change.hpp"

namespace caraway::router
{

namespace
{

bool same_address(const routing::endpoint& current, const routing::endpoint& next)
{
    return current.ip == next.ip && (next.port == 0 || current.port == next.port);
}

}  // namespace

settings_change apply_settings(settings& current, const settings& next)
{
    settings_change change;
    const auto require_unchanged = [&](bool unchanged, const char* name)
    {
        if (!unchanged)
        {
            change.need_restart.emplace_back(name);
        }
    };
    const auto apply = [&](auto& value, const auto& updated, const char* name)
    {
        if (value != updated)
        {
            value = updated;
            change.applied.emplace_back(name);
        }
    };
    require_unchanged(current.name == next.name, "name");
    require_unchanged(current.zone == next.zone, "zone");
    require_unchanged(same_address(current.callers, next.callers), "callers");
    require_unchanged(same_address(current.readiness, next.readiness), "readiness");
    require_unchanged(same_address(current.control, next.control), "control");
    require_unchanged(same_address(current.directory, next.directory), "directory");
    require_unchanged(same_address(current.datagrams, next.datagrams), "datagrams");
    require_unchanged(current.max_descriptors == next.max_descriptors, "max_descriptors");
    require_unchanged(current.memory == next.memory, "memory");
    require_unchanged(current.engines_crash_out_of_memory == next.engines_crash_out_of_memory,
                      "engines_crash_out_of_memory");
    apply(current.store, next.store, "store");
    apply(current.seeds, next.seeds, "seeds");
    apply(current.retries, next.retries, "retries");
    apply(current.share_window, next.share_window, "share_window");
    apply(current.grace, next.grace, "grace");
    apply(current.leaving_notice, next.leaving_notice, "leaving_notice");
    apply(current.heartbeat, next.heartbeat, "heartbeat");
    apply(current.entry_lifetime, next.entry_lifetime, "entry_lifetime");
    apply(current.capacity, next.capacity, "capacity");
    return change;
}

}  // namespace caraway::router
