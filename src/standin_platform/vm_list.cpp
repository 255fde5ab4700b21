#include "standin_platform/vm_list.hpp"

#include "libstandin/json.hpp"

#include <QDateTime>

#include <algorithm>

namespace standin_platform
{

namespace
{

/// Former lists kept, should the lag be raised.
constexpr std::size_t remembered = 1000;

standin::answer refused(refusal why)
{
    const int status = why == refusal::failure ? 500 : 503;
    return standin::json_answer({{QStringLiteral("error"), QStringLiteral("unavailable")}}, status);
}

}  // namespace

vm_list::vm_list(const caraway::base::clock& clock) : clock_(clock), gate_(clock, refused)
{
    versions_.push_back({.since = clock.now(), .vms = {}});
}

void vm_list::handle(const service_gate::call_ptr& call)
{
    gate_.pass(call, {.operation = "ListVms", .reads = 1}, [this] { return show(); });
}

std::optional<QString> vm_list::check(const QJsonArray& vms)
{
    for (const auto& vm : vms)
    {
        for (const char* member : {"id", "address", "zone"})
        {
            if (vm[QLatin1String(member)].toString().isEmpty())
            {
                return QStringLiteral("vms: each needs an id, an address and a zone");
            }
        }
        const QString state = vm[QLatin1String("state")].toString();
        if (state != QLatin1String("live") && state != QLatin1String("leaving"))
        {
            return QStringLiteral("vms: state is live or leaving");
        }
    }
    return std::nullopt;
}

void vm_list::set(const QJsonArray& vms)
{
    versions_.push_back({.since = clock_.now(), .vms = vms});
    if (versions_.size() > remembered)
    {
        versions_.pop_front();
    }
}

void vm_list::preload(const QJsonArray& vms)
{
    versions_.front().vms = vms;
}

QJsonArray vm_list::newest() const
{
    return versions_.back().vms;
}

void vm_list::set_lag(std::chrono::milliseconds lag)
{
    lag_ = lag;
}

std::chrono::milliseconds vm_list::lag() const
{
    return lag_;
}

service_gate& vm_list::gate()
{
    return gate_;
}

standin::answer vm_list::show()
{
    const auto then = clock_.now() - lag_;
    const auto newer = std::find_if(versions_.begin() + 1, versions_.end(),
                                    [then](const version& one) { return one.since > then; });
    const auto as_of = QDateTime::currentDateTimeUtc().addMSecs(-lag_.count());
    return standin::json_answer({{QStringLiteral("vms"), std::prev(newer)->vms},
                                 {QStringLiteral("as_of"), as_of.toString(Qt::ISODateWithMs)}});
}

}  // namespace standin_platform
