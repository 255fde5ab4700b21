#pragma once

#include "libcaraway/http/client_connection.hpp"

#include <map>
#include <vector>

namespace caraway::http
{

struct pool_options
{
    /// Idle connections kept to one upstream; more are closed, as all routers share what an
    /// upstream accepts.
    std::size_t max_idle = 8;
    /// How long an idle connection is kept where the upstream doesn't say.
    std::chrono::milliseconds idle_lifetime{8000};
    /// A connection isn't used so shortly before the upstream may close it: a request that crosses
    /// the close is lost.
    std::chrono::milliseconds close_margin{400};
    connect_options connect{};
};

/// Kept connections by upstream; a new life of an upstream, at whatever address, gets new ones.
class upstream_pool
{
public:
    upstream_pool(boost::asio::io_context& loop, timer_queue& timers, pool_options options = {});

    void set_max_idle(std::size_t count)
    {
        options_.max_idle = count;
    }

    std::shared_ptr<client_connection> acquire(const base::upstream_id& id);
    /// After a call that ended well; closed if it can't be used again.
    void release(const base::upstream_id& id, std::shared_ptr<client_connection> connection);
    void close_all(const base::upstream_id& id);
    /// Closes what has been idle for too long.
    void sweep();

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
