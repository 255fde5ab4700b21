#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/membership.hpp"
#include "libcaraway/wire/codec.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <vector>

namespace carawayd::control
{

struct membership_host_options
{
    caraway::membership::membership_options membership;
    caraway::base::node_ref self;
    caraway::membership::member_details details;
    std::function<void(const caraway::membership::send&)> send;
    /// Somebody came, went or changed state.
    std::function<void()> changed;
    std::function<void(const caraway::membership::newer_configuration_seen&)> newer_configuration;
};

/// Runs the failure detector on the control thread: feeds it messages and time and carries out what
/// it decides.
class membership_host : public QObject
{
public:
    membership_host(membership_host_options options, const caraway::base::clock& clock,
                    QObject* parent = nullptr);

    void start();
    void receive(const caraway::membership::endpoint& source, const caraway::base::node_ref& from,
                 const caraway::membership::message& received);

    /// Changes the own state through the failure detector, then carries out what follows.
    void apply(const std::function<void(caraway::membership::membership&,
                                        caraway::base::time_point)>& change);

    const caraway::membership::membership& view() const;
    /// The address of a live router's peer port, or null.
    const caraway::membership::endpoint* address_of(const caraway::base::node_ref& node) const;

private:
    void carry_out();

    membership_host_options options_;
    const caraway::base::clock& clock_;
    caraway::membership::membership membership_;
    QTimer wakeup_;
};

}  // namespace carawayd::control
