#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/scheduling/messages.hpp"
#include "libcaraway/scheduling/node_context.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace caraway::scheduling
{

/// Chooses the owners that are asked for slots of a service: at first those that announced free
/// slots, owners with upstreams in this zone first; after a short wait all owners, or a limited
/// random selection that changes regularly. That way no slot stays free for long while requests
/// wait at another router.
class ask_planner
{
public:
    explicit ask_planner(node_context& context);

    /// Records the free slots that an owner announced; replaces its previous announcement.
    void record_free_slots(const base::node_ref& owner, const std::vector<free_slots>& free,
                           base::time_point now);

    /// Updates the selection for a service with `waiting` queued requests. Once the selection is
    /// widened, `preferred` is always part of it. Returns the owners that were added or removed.
    std::vector<base::node_ref> update(const base::service_id& service, std::uint32_t waiting,
                                       const std::optional<base::node_ref>& preferred,
                                       base::time_point now);
    const std::set<base::node_ref>& asked(const base::service_id& service) const;
    /// Whether more owners are asked than the few that announced free slots.
    bool widened(const base::service_id& service) const;
    bool is_asked(const base::service_id& service, const base::node_ref& owner) const;

    /// Call after a change of members or upstreams: drops the announcements of owners that are gone
    /// and makes every selection due for an update.
    void view_changed();
    std::optional<base::time_point> next_wakeup() const;

private:
    struct plan
    {
        std::set<base::node_ref> asked;
        bool widened = false;
        /// When the selection is widened, or replaced in part.
        std::optional<base::time_point> next_update;
    };
    struct hint
    {
        base::slots free = 0;
        base::time_point expires;
    };
    struct ranked_owner
    {
        base::node_ref owner;
        base::slots free = 0;
        /// Owns the upstream that last ran the prompt prefix of a queued request.
        bool preferred = false;
        /// Has upstreams of the service in this router's availability zone.
        bool near = false;
        /// Random; decides between owners that are equal otherwise.
        std::uint64_t tie_breaker = 0;
    };

    std::vector<ranked_owner> rank(const base::service_id& service,
                                   const std::optional<base::node_ref>& preferred,
                                   base::time_point now);
    std::set<base::node_ref> choose(const base::service_id& service, plan& current,
                                    std::uint32_t waiting,
                                    const std::optional<base::node_ref>& preferred,
                                    base::time_point now);
    /// A few owners that together announced at least `waiting` free slots; nothing if the announced
    /// slots do not suffice.
    std::optional<std::set<base::node_ref>> choose_first(const std::vector<ranked_owner>& ranked,
                                                         std::uint32_t waiting) const;
    std::set<base::node_ref> retain_some(const std::set<base::node_ref>& asked);
    std::set<base::node_ref> choose_widely(const std::vector<ranked_owner>& ranked,
                                           std::set<base::node_ref> chosen,
                                           const std::optional<base::node_ref>& preferred) const;

    node_context& context_;
    std::map<base::service_id, plan> plans_;
    std::map<base::service_id, std::map<base::node_ref, hint>> hints_;
};

}  // namespace caraway::scheduling
