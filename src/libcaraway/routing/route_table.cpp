#include "libcaraway/routing/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace caraway::routing
{

namespace
{

std::string normalised_host(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char character)
                   { return static_cast<char>(std::tolower(character)); });
    return name;
}

}  // namespace

route_table::route_table(configuration accepted) : accepted_(std::move(accepted))
{
    for (const auto& each : accepted_.routes)
    {
        routes_.emplace(normalised_host(each.host) + each.prefix, &each);
        longest_prefix_ = std::max(longest_prefix_, each.prefix.size());
    }
    for (const auto& each : accepted_.workspaces)
    {
        for (const auto& key : each.keys)
        {
            workspaces_.emplace(key, &each);
        }
    }
    for (const auto& each : accepted_.services)
    {
        services_.emplace(each.id.str(), &each);
    }
}

const route* route_table::find_route(std::string_view host, std::string_view target) const
{
    const auto path = target.substr(0, target.find_first_of("?#"));
    const auto name = normalised_host(host);
    // A path may hold thousands of slashes.
    auto slash = path.substr(0, longest_prefix_).rfind('/');
    while (slash != std::string_view::npos)
    {
        const auto found = routes_.find(name + std::string(path.substr(0, slash + 1)));
        if (found != routes_.end())
        {
            return found->second;
        }
        if (slash == 0)
        {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const workspace* route_table::find_workspace(std::string_view key) const
{
    const auto found = workspaces_.find(std::string(key));
    return found == workspaces_.end() ? nullptr : found->second;
}

const service* route_table::find_service(const base::service_id& id) const
{
    const auto found = services_.find(id.str());
    return found == services_.end() ? nullptr : found->second;
}

const base::service_id& route_table::pick_service(const route& matched, double random_unit)
{
    double total = 0;
    for (const auto& each : matched.services)
    {
        total += each.weight;
    }
    double remaining = random_unit * total;
    for (const auto& each : matched.services)
    {
        if (remaining < each.weight)
        {
            return each.service;
        }
        remaining -= each.weight;
    }
    return matched.services.back().service;
}

}  // namespace caraway::routing
