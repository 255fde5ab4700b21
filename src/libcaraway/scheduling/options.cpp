#include "libcaraway/scheduling/options.hpp"

namespace caraway::scheduling
{

const char* name(policy value)
{
    switch (value)
    {
    case policy::full:
        return "full";
    case policy::local_only:
        return "local_only";
    case policy::shared_counters:
        return "shared_counters";
    case policy::single_scheduler:
        return "single_scheduler";
    }
    return "full";
}

}  // namespace caraway::scheduling
