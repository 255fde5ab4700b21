#include "libcaraway/net/http_client_pool.hpp"

#include <QNetworkProxy>

namespace caraway::net
{

namespace
{

/// Calls begun that long after the last sign of life find a dead upstream only by their first-byte
/// timeout, so it is short.
constexpr std::chrono::seconds sign_of_life_valid{1};
constexpr std::size_t spent_lanes_limit = 256;
constexpr std::size_t upstreams_before_drop = 1024;

}  // namespace

std::shared_ptr<http_manager> http_client_pool::manager()
{
    if (!manager_ || manager_->lanes.spent() >= spent_lanes_limit)
    {
        manager_ = std::shared_ptr<http_manager>(new http_manager, [](http_manager* unused)
                                                 { unused->deleteLater(); });
        manager_->qt.setProxy(QNetworkProxy::NoProxy);
        manager_->qt.setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
    }
    return manager_;
}

void http_client_pool::note_alive(const std::string& host_and_port, base::time_point now)
{
    if (last_alive_.size() >= upstreams_before_drop)
    {
        std::erase_if(last_alive_,
                      [now](const auto& entry) { return now - entry.second > sign_of_life_valid; });
    }
    last_alive_[host_and_port] = now;
}

bool http_client_pool::is_alive(const std::string& host_and_port, base::time_point now) const
{
    const auto found = last_alive_.find(host_and_port);
    return found != last_alive_.end() && now - found->second <= sign_of_life_valid;
}

}  // namespace caraway::net
