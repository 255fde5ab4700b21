#pragma once

#include "libcaraway/config/configuration.hpp"
#include "libcaraway/membership/membership.hpp"
#include "libcaraway/net/datagram_link.hpp"
#include "libcaraway/scheduling/snapshot.hpp"

#include <QJsonObject>

#include <cstddef>

/// Typed state as JSON, for status and dumps.
namespace carawayd::control
{

/// `{version, hash}`; version 0 while none is in force.
QJsonObject configuration_summary(const caraway::config::accepted_configuration* accepted);
/// `{live, suspected}`.
QJsonObject member_counts(const caraway::membership::membership& members);
QJsonObject to_json(const caraway::scheduling::scheduler_snapshot& state);
QJsonObject to_json(const caraway::net::datagram_counters& counters);

std::size_t waiting_requests(const caraway::scheduling::scheduler_snapshot& state);
/// Unused slots of the upstreams that this router owns.
std::size_t free_slots(const caraway::scheduling::scheduler_snapshot& state);

}  // namespace carawayd::control
