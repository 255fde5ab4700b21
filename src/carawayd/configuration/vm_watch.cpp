#include "carawayd/configuration/vm_watch.hpp"

#include "libcaraway/net/platform_breaker.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <QJsonArray>
#include <QPointer>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace carawayd::configuration
{

namespace base = caraway::base;
namespace net = caraway::net;

namespace
{

QJsonObject to_json(const net::vm& machine)
{
    return {{"id", QString::fromStdString(machine.id.str())},
            {"address", QString::fromStdString(machine.address)},
            {"zone", QString::fromStdString(machine.zone.str())},
            {"state", machine.leaving ? "leaving" : "live"}};
}

bool by_id(const net::vm& a, const net::vm& b)
{
    return a.id < b.id;
}

}  // namespace

std::chrono::milliseconds interval_after(const vm_watch_options& options, std::size_t answer_bytes)
{
    constexpr std::size_t ms_per_second = 1000;
    const std::chrono::milliseconds affordable(answer_bytes * ms_per_second /
                                               options.bytes_per_second);
    return std::max(options.interval, affordable);
}

vm_watch::vm_watch(vm_watch_options options, net::platform_client& platform,
                   const base::clock& clock, std::function<double()> random,
                   changed_handler changed, QObject* parent)
    : QObject(parent), options_(options), platform_(platform), clock_(clock),
      random_(std::move(random)), changed_(std::move(changed))
{
}

void vm_watch::start()
{
    look();
}

std::optional<bool> vm_watch::is_leaving(const std::string& address) const
{
    if (departed_.contains(address))
    {
        return true;
    }
    std::optional<bool> leaving;
    for (const net::vm& machine : vms_)
    {
        // An address may have passed from a VM that leaves to a new one.
        if (machine.address == address)
        {
            leaving = leaving.value_or(true) && machine.leaving;
        }
    }
    return leaving;
}

void vm_watch::look()
{
    platform_.list_vms(
        [guard = QPointer<vm_watch>(this)](base::result<net::vm_list> answer)
        {
            if (guard)
            {
                guard->take(std::move(answer));
            }
        });
}

void vm_watch::take(base::result<net::vm_list> answer)
{
    if (answer)
    {
        answer_bytes_ = answer.value().answer_bytes;
    }
    const base::duration mean = interval_after(options_, answer_bytes_);
    const base::duration pause = net::jittered_pause(0, mean, mean, random_());
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(pause), this,
                       [this] { look(); });
    if (!answer)
    {
        last_error_ = answer.error().message;
        return;
    }
    take_list(std::move(answer).value());
}

// The list lags by a different amount at each of the platform's replicas. Taking an older one
// after a newer would show as a leaving VM that is live again for a moment and gets new work.
void vm_watch::take_list(net::vm_list list)
{
    const QDateTime as_of =
        QDateTime::fromString(QString::fromStdString(list.as_of), Qt::ISODateWithMs);
    if (!as_of.isValid())
    {
        last_error_ = "the VM list doesn't say as of when it holds";
        return;
    }
    answered_at_ = clock_.now();
    last_error_.clear();
    if (as_of_.isValid() && as_of < as_of_)
    {
        ++older_lists_;
        return;
    }
    as_of_ = as_of;
    std::sort(list.vms.begin(), list.vms.end(), by_id);
    if (list.vms != vms_)
    {
        remember_departed(list.vms);
        vms_ = std::move(list.vms);
        changed_(vms_);
    }
}

void vm_watch::remember_departed(const std::vector<net::vm>& next)
{
    constexpr std::size_t most_departed = 4096;

    for (const net::vm& machine : vms_)
    {
        if (machine.leaving && departed_.size() < most_departed)
        {
            departed_.insert(machine.address);
        }
    }
    for (const net::vm& machine : next)
    {
        departed_.erase(machine.address);
    }
}

QJsonObject vm_watch::dump() const
{
    QJsonArray vms;
    for (const net::vm& machine : vms_)
    {
        vms.append(to_json(machine));
    }
    QJsonArray departed;
    for (const std::string& address : departed_)
    {
        departed.append(QString::fromStdString(address));
    }
    QJsonObject state{{"vms", vms},
                      {"departed", departed},
                      {"as_of", as_of_.toString(Qt::ISODateWithMs)},
                      {"older_lists", static_cast<qint64>(older_lists_)},
                      {"last_error", QString::fromStdString(last_error_)}};
    if (answered_at_)
    {
        state["age_s"] = std::chrono::duration<double>(clock_.now() - *answered_at_).count();
    }
    return state;
}

}  // namespace carawayd::configuration
