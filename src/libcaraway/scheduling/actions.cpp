#include "libcaraway/scheduling/actions.hpp"

namespace caraway::scheduling
{

const char* name(attempt_result value)
{
    switch (value)
    {
    case attempt_result::done:
        return "done";
    case attempt_result::refused:
        return "refused";
    case attempt_result::unreachable:
        return "unreachable";
    case attempt_result::overloaded:
        return "overloaded";
    case attempt_result::failed:
        return "failed";
    case attempt_result::cancelled:
        return "cancelled";
    }
    return "failed";
}

}  // namespace caraway::scheduling
