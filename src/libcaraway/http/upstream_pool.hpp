#pragma once

#include "libcaraway/http/client_connection.hpp"

#include <map>
#include <vector>

namespace caraway::http
{

struct pool_options
{
    /// Idle connections kept per upstream; further ones are closed, as all routers share the
    /// upstream's connection limit.
    std::size_t max_idle = 8;
    /// How long an idle connection is kept if the upstream sends no Keep-Alive timeout.
    std::chrono::milliseconds idle_lifetime{8000};
    /// A connection is not reused within this time before the upstream may close it: a request that
    /// crosses the close is lost.
    std::chrono::milliseconds close_margin{400};
    connect_options connect{};
};

/// Idle connections per upstream ID. A new incarnation of an upstream has a new ID and so gets new
/// connections, whatever its address.
class upstream_pool
{
public:
    upstream_pool(boost::asio::io_context& loop, timer_queue& timers, pool_options options = {});

    void set_max_idle(std::size_t count)
    {
        options_.max_idle = count;
    }

    /// Returns a reusable idle connection to the upstream, or a new one that is not connected yet.
    std::shared_ptr<client_connection> acquire(const base::upstream_id& id);
    /// Returns a connection after a successful call; closes it if it can't be reused.
    void release(const base::upstream_id& id, std::shared_ptr<client_connection> connection);
    void close_all(const base::upstream_id& id);
    /// Closes connections that are expired or no longer reusable.
    void sweep();

    /// Connections created by this pool.
    std::uint64_t opened() const
    {
        return opened_;
    }

private:
    bool is_fresh(const client_connection& connection) const;

    boost::asio::io_context& loop_;
    timer_queue& timers_;
    pool_options options_;
    std::map<base::upstream_id, std::vector<std::shared_ptr<client_connection>>> idle_;
    std::uint64_t opened_ = 0;
};

}  // namespace caraway::http
