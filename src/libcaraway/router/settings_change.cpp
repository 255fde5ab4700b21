#include "libcaraway/router/settings_change.hpp"

namespace caraway::router
{

namespace
{

bool same_place(const routing::endpoint& current, const routing::endpoint& next)
{
    return current.ip == next.ip && (next.port == 0 || current.port == next.port);
}

}  // namespace

settings_change apply_settings(settings& current, const settings& next)
{
    settings_change change;
    const auto keep = [&](bool unchanged, const char* name)
    {
        if (!unchanged)
        {
            change.need_restart.emplace_back(name);
        }
    };
    const auto take = [&](auto& value, const auto& from, const char* name)
    {
        if (value != from)
        {
            value = from;
            change.applied.emplace_back(name);
        }
    };
    keep(current.name == next.name, "name");
    keep(current.zone == next.zone, "zone");
    keep(same_place(current.callers, next.callers), "callers");
    keep(same_place(current.readiness, next.readiness), "readiness");
    keep(same_place(current.control, next.control), "control");
    keep(same_place(current.directory, next.directory), "directory");
    keep(same_place(current.datagrams, next.datagrams), "datagrams");
    keep(current.max_descriptors == next.max_descriptors, "max_descriptors");
    take(current.store, next.store, "store");
    take(current.seeds, next.seeds, "seeds");
    take(current.retries, next.retries, "retries");
    take(current.share_window, next.share_window, "share_window");
    take(current.grace, next.grace, "grace");
    take(current.leaving_notice, next.leaving_notice, "leaving_notice");
    take(current.entry_lifetime, next.entry_lifetime, "entry_lifetime");
    take(current.capacity, next.capacity, "capacity");
    return change;
}

}  // namespace caraway::router
