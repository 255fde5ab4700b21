#include "libcaraway/base/error.hpp"

namespace caraway::base
{

const char* name(errc code)
{
    switch (code)
    {
    case errc::invalid_argument:
        return "invalid_argument";
    case errc::not_found:
        return "not_found";
    case errc::conflict:
        return "conflict";
    case errc::permission_denied:
        return "permission_denied";
    case errc::unauthenticated:
        return "unauthenticated";
    case errc::unavailable:
        return "unavailable";
    case errc::unknown_effect:
        return "unknown_effect";
    case errc::timeout:
        return "timeout";
    case errc::resource_exhausted:
        return "resource_exhausted";
    case errc::corrupt:
        return "corrupt";
    case errc::internal:
        return "internal";
    }
    return "internal";
}

}  // namespace caraway::base
