#include "libcaraway/scheduling/service_directory.hpp"

#include <algorithm>
#include <utility>

namespace caraway::scheduling
{

namespace
{

constexpr double min_cost = 1;

template <class Map>
const typename Map::mapped_type* find(const Map& map, const typename Map::key_type& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

}  // namespace

void service_directory::set(config::configuration content)
{
    content_ = std::move(content);
    by_service_.clear();
    slots_.clear();
    for (const auto& [id, upstream] : content_.upstreams)
    {
        by_service_[upstream.service].push_back(id);
        slots_[upstream.service] += upstream.slots;
    }
}

const config::configuration& service_directory::content() const
{
    return content_;
}

const config::workspace* service_directory::workspace(const base::workspace_id& id) const
{
    return find(content_.workspaces, id);
}

const config::service* service_directory::service(const base::service_id& id) const
{
    return find(content_.services, id);
}

const config::upstream* service_directory::upstream(const base::upstream_id& id) const
{
    return find(content_.upstreams, id);
}

const std::vector<base::upstream_id>&
service_directory::upstreams_of(const base::service_id& id) const
{
    static const std::vector<base::upstream_id> none;
    const auto* found = find(by_service_, id);
    return found ? *found : none;
}

base::share service_directory::weight(const base::workspace_id& id) const
{
    const auto* found = workspace(id);
    return found && found->weight.value() > 0 ? found->weight : base::share(1);
}

base::cost service_directory::default_cost(const base::service_id& id) const
{
    const auto* found = service(id);
    return base::cost(std::max(found ? found->default_cost.value() : 0, min_cost));
}

base::slots service_directory::slots_of(const base::service_id& id) const
{
    const auto* found = find(slots_, id);
    return found ? *found : 0;
}

}  // namespace caraway::scheduling
