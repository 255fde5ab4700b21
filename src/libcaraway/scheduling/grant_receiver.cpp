#include "libcaraway/scheduling/grant_receiver.hpp"

namespace caraway::scheduling
{

namespace
{

/// Maximum number of declined grants in a report. The owner assumes that a grant beyond this number
/// was bound; the only effect is that its estimated cost stays charged a little longer.
constexpr std::size_t max_declined_reported = 16;

}  // namespace

std::vector<grant> grant_receiver::accept(const base::node_ref& owner, const grant_list& list)
{
    auto& last = owners_[owner].last;
    std::vector<grant> new_grants;
    for (const auto& received : list.grants)
    {
        if (received.number > last)
        {
            last = received.number;
            new_grants.push_back(received);
        }
    }
    return new_grants;
}

void grant_receiver::record_declined(const base::node_ref& owner, base::grant_number number)
{
    auto& declined = owners_[owner].declined;
    declined.push_back(number);
    if (declined.size() > max_declined_reported)
    {
        declined.pop_front();
    }
}

base::grant_number grant_receiver::last(const base::node_ref& owner) const
{
    const auto found = owners_.find(owner);
    return found == owners_.end() ? base::grant_number{} : found->second.last;
}

std::vector<base::grant_number> grant_receiver::declined(const base::node_ref& owner) const
{
    const auto found = owners_.find(owner);
    if (found == owners_.end())
    {
        return {};
    }
    return {found->second.declined.begin(), found->second.declined.end()};
}

void grant_receiver::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(owners_, [&](const auto& entry) { return !alive(entry.first); });
}

}  // namespace caraway::scheduling
