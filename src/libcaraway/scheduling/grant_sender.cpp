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
    auto& state = peers_[router];
    const auto number = base::grant_number{++state.last_number};
    state.pending.push_back({.given = {.number = number,
                                       .upstream = upstream,
                                       .service = key.service,
                                       .workspace = key.workspace},
                             .created = now});
    state.has_new = true;
    return number;
}

std::vector<grant> grant_sender::acknowledge(const base::node_ref& router,
                                             base::grant_number last_number)
{
    std::vector<grant> removed;
    const auto found = peers_.find(router);
    if (found == peers_.end())
    {
        return removed;
    }
    std::erase_if(found->second.pending,
                  [&](const sent_grant& sent)
                  {
                      const bool acknowledged = sent.given.number <= last_number;
                      if (acknowledged)
                      {
                          removed.push_back(sent.given);
                      }
                      return acknowledged;
                  });
    return removed;
}

std::vector<std::pair<base::node_ref, grant>> grant_sender::reclaim(base::time_point now)
{
    std::vector<std::pair<base::node_ref, grant>> reclaimed;
    for (auto& [router, state] : peers_)
    {
        std::erase_if(state.pending,
                      [&, &to = router](const sent_grant& sent)
                      {
                          const bool expired = now - sent.created >= options_.grant_timeout;
                          if (expired)
                          {
                              reclaimed.emplace_back(to, sent.given);
                          }
                          return expired;
                      });
    }
    return reclaimed;
}

std::vector<std::pair<base::node_ref, grant>> grant_sender::withdraw(
    const std::function<bool(const base::node_ref&, const grant&)>& should_withdraw)
{
    std::vector<std::pair<base::node_ref, grant>> withdrawn;
    for (auto& [router, state] : peers_)
    {
        std::erase_if(state.pending,
                      [&, &to = router](const sent_grant& sent)
                      {
                          const bool withdraws = should_withdraw(to, sent.given);
                          if (withdraws)
                          {
                              withdrawn.emplace_back(to, sent.given);
                          }
                          return withdraws;
                      });
    }
    return withdrawn;
}

void grant_sender::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(peers_, [&](const auto& entry) { return !alive(entry.first); });
}

std::vector<base::node_ref> grant_sender::due(base::time_point now) const
{
    std::vector<base::node_ref> routers;
    for (const auto& [router, state] : peers_)
    {
        const bool must_resend =
            !state.pending.empty() && now - state.last_sent >= options_.grant_resend_interval;
        if (state.has_new || must_resend)
        {
            routers.push_back(router);
        }
    }
    return routers;
}

std::vector<grant> grant_sender::list_for(const base::node_ref& router, base::time_point now)
{
    auto& state = peers_[router];
    state.has_new = false;
    state.last_sent = now;
    std::vector<grant> grants;
    for (const auto& sent : state.pending)
    {
        grants.push_back(sent.given);
    }
    return grants;
}

std::optional<base::time_point> grant_sender::next_wakeup() const
{
    std::optional<base::time_point> next;
    for (const auto& [router, state] : peers_)
    {
        if (state.pending.empty())
        {
            continue;
        }
        const auto resend_at = state.last_sent + options_.grant_resend_interval;
        const auto expires_at = state.pending.front().created + options_.grant_timeout;
        const base::time_point earliest = std::min(resend_at, expires_at);
        next = next ? std::min(*next, earliest) : earliest;
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
    const auto& pending = found->second.pending;
    return static_cast<std::uint32_t>(std::count_if(
        pending.begin(), pending.end(),
        [&](const sent_grant& sent)
        { return sent.given.service == key.service && sent.given.workspace == key.workspace; }));
}

std::vector<grant_state> grant_sender::states(base::time_point now) const
{
    using std::chrono::milliseconds;
    std::vector<grant_state> states;
    for (const auto& [router, state] : peers_)
    {
        for (const auto& sent : state.pending)
        {
            states.push_back({.router = router.id,
                              .given = sent.given,
                              .age = std::chrono::duration_cast<milliseconds>(now - sent.created)});
        }
    }
    return states;
}

}  // namespace caraway::scheduling
