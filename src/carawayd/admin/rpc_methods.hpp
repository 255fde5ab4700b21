#pragma once

#include "libcaraway/base/clock.hpp"

#include <QJsonObject>

#include <functional>

namespace caraway::rpc
{
class rpc_endpoint;
}
namespace carawayd::control
{
class control_plane;
}
namespace carawayd::journal
{
class request_journal;
}

namespace carawayd::admin
{

/// What the methods act on. All of it outlives the endpoint.
struct rpc_context
{
    control::control_plane& control;
    const journal::request_journal& journal;
    const caraway::base::clock& clock;
    /// The state of the whole process; called on the control thread.
    std::function<QJsonObject()> dump;
    /// Begins the graceful shutdown; called on the control thread.
    std::function<void()> drain;
    bool allow_faults = false;
};

/// Adds the operators' methods (libcaraway/rpc/methods.hpp) to an endpoint.
void add_rpc_methods(caraway::rpc::rpc_endpoint& endpoint, const rpc_context& context);

}  // namespace carawayd::admin
