#include "libcaraway/attempts/outcome.hpp"

namespace caraway::attempts
{

const char* name(outcome value)
{
    switch (value)
    {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

}  // namespace caraway::attempts
