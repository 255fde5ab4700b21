#pragma once

#include "libcaraway/scheduling/fleet_view.hpp"
#include "libcaraway/scheduling/options.hpp"
#include "libcaraway/scheduling/outbox.hpp"
#include "libcaraway/scheduling/service_directory.hpp"
#include "libcaraway/scheduling/snapshot.hpp"

namespace caraway::scheduling
{

/// State shared by all roles of one node.
struct node_context
{
    scheduler_options options;
    fleet_view view;
    service_directory directory;
    outbox out;
    scheduler_counters counters;
};

}  // namespace caraway::scheduling
