#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/net/platform_types.hpp"

#include <QDateTime>
#include <QJsonObject>
#include <QObject>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caraway::net
{
class platform_client;
}

namespace carawayd::configuration
{

struct vm_watch_options
{
    /// Mean time between two looks at the list; each is jittered by half of it.
    std::chrono::milliseconds interval{1000};
    /// Most that the lists may cost, on average. The list grows with the fleet, and each node looks
    /// by itself: at a thousand VMs one look a second would be fifteen times what a node may spend
    /// on all of its control. Beyond this the looks become rarer, and the fleet together still
    /// looks as often as before.
    std::uint32_t bytes_per_second = 2048;
};

/// The mean time until the next look after an answer of this size.
std::chrono::milliseconds interval_after(const vm_watch_options& options, std::size_t answer_bytes);

/// Follows the platform's list of live and leaving VMs, which lags. Through an outage the last list
/// stands; its age is in the dump.
class vm_watch : public QObject
{
public:
    /// Gets the whole list after each change of it.
    using changed_handler = std::function<void(const std::vector<caraway::net::vm>&)>;

    /// `random` gives numbers in [0, 1).
    vm_watch(vm_watch_options options, caraway::net::platform_client& platform,
             const caraway::base::clock& clock, std::function<double()> random,
             changed_handler changed, QObject* parent = nullptr);

    /// Looks at once, and from then on again and again.
    void start();

    /// The last list; empty before the first.
    const std::vector<caraway::net::vm>& vms() const
    {
        return vms_;
    }

    /// Whether the VM with this address is leaving, or has left after being told so; nothing if the
    /// list has never named it as such and doesn't name it now.
    std::optional<bool> is_leaving(const std::string& address) const;

    QJsonObject dump() const;

private:
    void look();
    void take(caraway::base::result<caraway::net::vm_list> answer);
    void take_list(caraway::net::vm_list list);
    void remember_departed(const std::vector<caraway::net::vm>& next);

    vm_watch_options options_;
    caraway::net::platform_client& platform_;
    const caraway::base::clock& clock_;
    std::function<double()> random_;
    changed_handler changed_;
    std::vector<caraway::net::vm> vms_;
    /// Addresses of VMs that were leaving and are no longer listed. Without these, a VM that has
    /// left would count as unknown, hence as usable, from the moment at which it is gone.
    std::set<std::string> departed_;
    QDateTime as_of_;
    std::optional<caraway::base::time_point> answered_at_;
    std::string last_error_;
    std::size_t answer_bytes_ = 0;
    std::uint64_t older_lists_ = 0;
};

}  // namespace carawayd::configuration
