#pragma once

#include "carawayd/traffic/traffic_worker.hpp"
#include "libcaraway/base/error.hpp"

#include <QThread>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caraway::net
{
class http_acceptor;
}

namespace carawayd::traffic
{

struct traffic_pool_options
{
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t threads = 2;
};

/// The traffic threads and the port that callers connect to. Used from the control thread.
class traffic_pool
{
public:
    traffic_pool(traffic_pool_options options, const traffic_context& context);
    ~traffic_pool();

    caraway::base::result<void> start();
    void stop();

    /// No new connections from here on; those that are open end with their answer in progress.
    void close_entrance();
    std::uint16_t port() const;
    /// Requests that have not ended.
    std::size_t sessions() const;

private:
    struct lane
    {
        std::unique_ptr<QThread> thread;
        std::unique_ptr<traffic_worker> worker;
    };

    void open_lane();

    traffic_pool_options options_;
    traffic_context context_;
    std::vector<lane> lanes_;
    std::unique_ptr<caraway::net::http_acceptor> acceptor_;
};

}  // namespace carawayd::traffic
