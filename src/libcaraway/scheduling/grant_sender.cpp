#include "libcaraway/scheduling/grant_sender.hpp"

#include <algorithm>
#include <chrono>

namespace caraway::scheduling
{

grant_sender::grant_sender(const scheduler_options& options) : options_(options) {}

base::grant_number grant_sender::add(const base::node_ref& router,
                                     const base::upstream_id& upstream, const account& key,
                                     base::time_point now)
{
    auto& each = peers_[router];
    const auto number = base::grant_number{++each.last_number};
    each.open.push_back({.given = {.number = number,
                                   .upstream = upstream,
                                   .service = key.service,
                                   .workspace = key.workspace},
                         .made = now});
    each.fresh = true;
    return number;
}

std::vector<grant> grant_sender::acknowledge(const base::node_ref& router, base::grant_number last)
{
    std::vector<grant> done;
    const auto found = peers_.find(router);
    if (found == peers_.end())
    {
        return done;
    }
    std::erase_if(found->second.open,
                  [&](const sent_grant& each)
                  {
                      const bool acknowledged = each.given.number <= last;
                      if (acknowledged)
                      {
                          done.push_back(each.given);
                      }
                      return acknowledged;
                  });
    return done;
}

std::vector<std::pair<base::node_ref, grant>> grant_sender::reclaim(base::time_point now)
{
    std::vector<std::pair<base::node_ref, grant>> taken;
    for (auto& [router, each] : peers_)
    {
        std::erase_if(each.open,
                      [&, &to = router](const sent_grant& sent)
                      {
                          const bool late = now - sent.made >= options_.grant_timeout;
                          if (late)
                          {
                              taken.emplace_back(to, sent.given);
                          }
                          return late;
                      });
    }
    return taken;
}

std::vector<std::pair<base::node_ref, grant>>
grant_sender::withdraw(const std::function<bool(const base::node_ref&, const grant&)>& unwanted)
{
    std::vector<std::pair<base::node_ref, grant>> taken;
    for (auto& [router, each] : peers_)
    {
        std::erase_if(each.open,
                      [&, &to = router](const sent_grant& sent)
                      {
                          const bool gone = unwanted(to, sent.given);
                          if (gone)
                          {
                              taken.emplace_back(to, sent.given);
                          }
                          return gone;
                      });
    }
    return taken;
}

void grant_sender::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(peers_, [&](const auto& each) { return !alive(each.first); });
}

std::vector<base::node_ref> grant_sender::due(base::time_point now) const
{
    std::vector<base::node_ref> routers;
    for (const auto& [router, each] : peers_)
    {
        const bool repeat =
            !each.open.empty() && now - each.last_sent >= options_.grant_resend_interval;
        if (each.fresh || repeat)
        {
            routers.push_back(router);
        }
    }
    return routers;
}

std::vector<grant> grant_sender::list_for(const base::node_ref& router, base::time_point now)
{
    auto& each = peers_[router];
    each.fresh = false;
    each.last_sent = now;
    std::vector<grant> list;
    for (const auto& sent : each.open)
    {
        list.push_back(sent.given);
    }
    return list;
}

std::optional<base::time_point> grant_sender::next_wakeup() const
{
    std::optional<base::time_point> next;
    for (const auto& [router, each] : peers_)
    {
        if (each.open.empty())
        {
            continue;
        }
        const auto repeat = each.last_sent + options_.grant_resend_interval;
        const auto reclaim = each.open.front().made + options_.grant_timeout;
        const base::time_point first = std::min(repeat, reclaim);
        next = next ? std::min(*next, first) : first;
    }
    return next;
}

std::uint32_t grant_sender::unacknowledged(const base::node_ref& router, const account& key) const
{
    const auto found = peers_.find(router);
    if (found == peers_.end())
    {
        return 0;
    }
    const auto& open = found->second.open;
    return static_cast<std::uint32_t>(std::count_if(
        open.begin(), open.end(),
        [&](const sent_grant& each)
        { return each.given.service == key.service && each.given.workspace == key.workspace; }));
}

std::vector<grant_state> grant_sender::states(base::time_point now) const
{
    using std::chrono::milliseconds;
    std::vector<grant_state> states;
    for (const auto& [router, each] : peers_)
    {
        for (const auto& sent : each.open)
        {
            states.push_back({.router = router.id,
                              .given = sent.given,
                              .age = std::chrono::duration_cast<milliseconds>(now - sent.made)});
        }
    }
    return states;
}

}  // namespace caraway::scheduling
