#pragma once

#include "libcaraway/base/clock.hpp"

#include "standin_platform/service_gate.hpp"

#include <QJsonArray>

#include <deque>
#include <optional>

namespace standin_platform
{

/// The lagging list of live and leaving VMs.
class vm_list
{
public:
    explicit vm_list(const caraway::base::clock& clock);

    void handle(const service_gate::call_ptr& call);

    /// What is wrong with a list, or nothing.
    static std::optional<QString> check(const QJsonArray& vms);
    void set(const QJsonArray& vms);
    /// The list that there was before anything changed.
    void preload(const QJsonArray& vms);
    /// The list as it is, without the lag.
    QJsonArray newest() const;
    void set_lag(std::chrono::milliseconds lag);
    std::chrono::milliseconds lag() const;

    service_gate& gate();

private:
    standin::answer show();

    struct version
    {
        caraway::base::time_point since;
        QJsonArray vms;
    };
    const caraway::base::clock& clock_;
    service_gate gate_;
    std::chrono::milliseconds lag_{0};
    std::deque<version> versions_;
};

}  // namespace standin_platform
