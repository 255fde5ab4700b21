#include "libcaraway/http/upstream_pool.hpp"

#include <algorithm>

namespace caraway::http
{

upstream_pool::upstream_pool(boost::asio::io_context& loop, timer_queue& timers,
                             pool_options options)
    : loop_(loop), timers_(timers), options_(options)
{
}

std::shared_ptr<client_connection> upstream_pool::acquire(const base::upstream_id& id)
{
    auto& idle = idle_[id];
    // The most recently used connection is the least likely to be closed by the upstream.
    while (!idle.empty())
    {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->is_reusable() && is_fresh(*connection))
        {
            return connection;
        }
        connection->close();
    }
    ++opened_;
    return std::make_shared<client_connection>(loop_, timers_, options_.connect);
}

void upstream_pool::release(const base::upstream_id& id,
                            std::shared_ptr<client_connection> connection)
{
    auto& idle = idle_[id];
    if (!connection->is_reusable() || idle.size() >= options_.max_idle)
    {
        connection->close();
        return;
    }
    idle.push_back(std::move(connection));
}

void upstream_pool::close_all(const base::upstream_id& id)
{
    const auto found = idle_.find(id);
    if (found == idle_.end())
    {
        return;
    }
    for (const auto& connection : found->second)
    {
        connection->close();
    }
    idle_.erase(found);
}

void upstream_pool::sweep()
{
    for (auto& [id, idle] : idle_)
    {
        std::erase_if(idle,
                      [&](const auto& connection)
                      {
                          if (connection->is_reusable() && is_fresh(*connection))
                          {
                              return false;
                          }
                          connection->close();
                          return true;
                      });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

bool upstream_pool::is_fresh(const client_connection& connection) const
{
    const auto usable_until =
        connection.keep_alive_until().value_or(connection.idle_since() + options_.idle_lifetime);
    return timers_.now() + options_.close_margin < usable_until;
}

}  // namespace caraway::http
