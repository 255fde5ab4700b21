#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace caraway::membership
{

/// Returns 64 random bits.
using random_source = std::function<std::uint64_t()>;

/// A random index below `size`, which must be above 0.
std::size_t random_index(const random_source& random, std::size_t size);

/// A random duration between 3/4 and 5/4 of `interval`, so that nodes that started at the same time
/// do not stay synchronized.
base::duration jittered(base::duration interval, const random_source& random);

/// Fisher-Yates shuffle; the result of the standard library's shuffle differs between
/// implementations.
template <class T>
void shuffle(std::vector<T>& items, const random_source& random)
{
    for (std::size_t remaining = items.size(); remaining > 1; --remaining)
    {
        std::swap(items[remaining - 1], items[random_index(random, remaining)]);
    }
}

/// The order of probes: every member once in random order, then a new round in another random
/// order. This bounds the time until a given node probes a member, which choosing a random member
/// each time would not.
class probe_order
{
public:
    explicit probe_order(random_source random);

    /// The next member for which `is_eligible` is true; `candidates` provides the members of a new
    /// round. None if no member is eligible.
    std::optional<base::node_id> next(const std::function<std::vector<base::node_id>()>& candidates,
                                      const std::function<bool(const base::node_id&)>& is_eligible);
    /// Inserts a new member at a random position of the current round.
    void add(const base::node_id& id);
    /// Schedules the member as the next one.
    void prioritize(const base::node_id& id);

private:
    random_source random_;
    std::vector<base::node_id> round_;
};

}  // namespace caraway::membership
