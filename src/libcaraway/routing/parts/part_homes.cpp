#include "libcaraway/routing/parts/part_homes.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <algorithm>

namespace caraway::routing::parts
{

namespace
{

using scheduling::combine;
using scheduling::stable_hash;

/// Returns the candidates with the highest and second highest rendezvous weight for a part.
std::pair<std::size_t, std::size_t> two_highest(std::uint64_t part,
                                                const std::vector<const upstream*>& candidates)
{
    std::size_t first = prompt_homes::none;
    std::size_t second = prompt_homes::none;
    std::uint64_t highest = 0;
    std::uint64_t next = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        const auto weight = combine(part, candidates[index]->hash);
        if (first == prompt_homes::none || weight > highest)
        {
            second = first;
            next = highest;
            first = index;
            highest = weight;
        }
        else if (second == prompt_homes::none || weight > next)
        {
            second = index;
            next = weight;
        }
    }
    return {first, second};
}

}  // namespace

std::size_t prompt_homes::depth(std::size_t candidate) const
{
    for (std::size_t part = homes.size(); part > 0; --part)
    {
        if (homes[part - 1] == candidate)
        {
            return part;
        }
    }
    return 0;
}

bool prompt_homes::is_further_home(std::size_t candidate) const
{
    return std::find(further_homes.begin(), further_homes.end(), candidate) != further_homes.end();
}

std::vector<std::uint64_t> prefix_hashes(const std::vector<prompt_part>& parts)
{
    std::vector<std::uint64_t> prefixes;
    std::uint64_t prefix = 0;
    for (const auto& part : parts)
    {
        prefix = combine(prefix, stable_hash(part.id));
        prefixes.push_back(prefix);
    }
    return prefixes;
}

prompt_homes part_homes::find(const std::vector<prompt_part>* prompt,
                              const std::vector<const upstream*>& candidates,
                              const throughput_lookup& /*relative_throughput*/,
                              base::time_point /*now*/) const
{
    prompt_homes out;
    if (prompt == nullptr || prompt->size() < 2)
    {
        return out;
    }
    out.prefixes = prefix_hashes(*prompt);
    out.prefixes.pop_back();
    for (const auto part : out.prefixes)
    {
        const auto [first, second] = two_highest(part, candidates);
        out.homes.push_back(first);
        out.further_homes.clear();
        if (second != prompt_homes::none)
        {
            out.further_homes.push_back(second);
        }
    }
    return out;
}

void part_homes::record_use(const std::vector<prompt_part>& /*prompt*/, base::time_point /*now*/) {}

}  // namespace caraway::routing::parts
