#include "carawayd/control/membership_host.hpp"

#include "libcaraway/logging/logger.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace carawayd::control
{

using caraway::membership::member_changed;
using caraway::membership::newer_configuration_seen;
using caraway::membership::newer_incarnation_seen;

namespace
{

const caraway::logging::logger& log()
{
    static const caraway::logging::logger instance("membership");
    return instance;
}

}  // namespace

membership_host::membership_host(membership_host_options options, const caraway::base::clock& clock,
                                 QObject* parent)
    : QObject(parent), options_(std::move(options)), clock_(clock),
      membership_(options_.membership, options_.self, options_.details, clock.now())
{
    wakeup_.setSingleShot(true);
    wakeup_.setTimerType(Qt::PreciseTimer);
    connect(&wakeup_, &QTimer::timeout, this, &membership_host::start);
}

void membership_host::start()
{
    membership_.tick(clock_.now());
    carry_out();
}

void membership_host::receive(const caraway::membership::endpoint& source,
                              const caraway::base::node_ref& from,
                              const caraway::membership::message& received)
{
    membership_.receive(source, from, received, clock_.now());
    carry_out();
}

void membership_host::apply(
    const std::function<void(caraway::membership::membership&, caraway::base::time_point)>& change)
{
    change(membership_, clock_.now());
    carry_out();
}

const caraway::membership::membership& membership_host::view() const
{
    return membership_;
}

const caraway::membership::endpoint*
membership_host::address_of(const caraway::base::node_ref& node) const
{
    const auto* found = membership_.find(node.id);
    return found == nullptr ? nullptr : &found->details.peer;
}

void membership_host::carry_out()
{
    bool changed = false;
    for (const auto& action : membership_.take_actions())
    {
        if (const auto* send = std::get_if<caraway::membership::send>(&action))
        {
            options_.send(*send);
        }
        else if (const auto* seen = std::get_if<newer_configuration_seen>(&action))
        {
            options_.newer_configuration(*seen);
        }
        else if (const auto* change = std::get_if<member_changed>(&action))
        {
            changed = true;
            log().info("A router changed its state.",
                       {{"node", change->current.node.id},
                        {"state", caraway::membership::name(change->current.state())}});
        }
        else if (const auto* life = std::get_if<newer_incarnation_seen>(&action))
        {
            log().error("Another process uses this node's id, or the clock went back.",
                        {{"life", life->incarnation}});
        }
    }
    if (changed)
    {
        options_.changed();
    }
    const auto left =
        std::max(membership_.next_wakeup() - clock_.now(), caraway::base::duration::zero());
    wakeup_.start(std::chrono::ceil<std::chrono::milliseconds>(left));
}

}  // namespace carawayd::control
