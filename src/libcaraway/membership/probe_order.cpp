#include "libcaraway/membership/probe_order.hpp"

#include <utility>

namespace caraway::membership
{

std::size_t random_index(const random_source& random, std::size_t size)
{
    return static_cast<std::size_t>(random() % size);
}

base::duration jittered(base::duration interval, const random_source& random)
{
    constexpr std::size_t steps = 1024;
    const auto step = static_cast<base::duration::rep>(random_index(random, steps));
    return interval * 3 / 4 + interval / 2 * step / static_cast<base::duration::rep>(steps);
}

probe_order::probe_order(random_source random) : random_(std::move(random)) {}

std::optional<base::node_id>
probe_order::next(const std::function<std::vector<base::node_id>()>& candidates,
                  const std::function<bool(const base::node_id&)>& is_eligible)
{
    // Two passes at most: the rest of the current round and one whole new round.
    for (int rounds = 0; rounds < 2; ++rounds)
    {
        while (!round_.empty())
        {
            base::node_id id = std::move(round_.back());
            round_.pop_back();
            if (is_eligible(id))
            {
                return id;
            }
        }
        round_ = candidates();
        shuffle(round_, random_);
    }
    return std::nullopt;
}

void probe_order::add(const base::node_id& id)
{
    const std::size_t position = random_index(random_, round_.size() + 1);
    round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(position), id);
}

void probe_order::prioritize(const base::node_id& id)
{
    std::erase(round_, id);
    round_.push_back(id);
}

}  // namespace caraway::membership
