#include "carawayctl/exit_code.hpp"

namespace caraway::ctl
{

exit_code exit_code_of(base::errc kind)
{
    switch (kind)
    {
    case base::errc::unavailable:
    case base::errc::timeout:
        return exit_code::unreachable;
    case base::errc::unauthenticated:
    case base::errc::permission_denied:
        return exit_code::unauthorized;
    case base::errc::unknown_effect:
        return exit_code::unknown_effect;
    case base::errc::invalid_argument:
    case base::errc::not_found:
    case base::errc::conflict:
    case base::errc::resource_exhausted:
    case base::errc::corrupt:
    case base::errc::internal:
        break;
    }
    return exit_code::refused;
}

}  // namespace caraway::ctl
