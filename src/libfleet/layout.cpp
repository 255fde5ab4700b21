#include "libfleet/layout.hpp"

namespace fleet
{

layout small_layout(const QString& programs)
{
    layout small;
    small.programs = programs;
    small.engines = {{.id = "runner-1", .zone = "zone-a"}, {.id = "runner-2", .zone = "zone-b"}};
    small.services = {{.id = "dispatch-1", .zone = "zone-c"}};
    small.workspaces = {{.id = "north"}, {.id = "south"}, {.id = "large", .share = 2}};
    return small;
}

}  // namespace fleet
