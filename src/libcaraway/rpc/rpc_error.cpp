#include "libcaraway/rpc/rpc_error.hpp"

#include <array>

namespace caraway::rpc
{

namespace
{

struct code_of_kind
{
    base::errc kind;
    int code;
};

// Clear of -32000 to -32019, where the library puts codes of its own: it would begin our messages
// with its own text for such a code.
constexpr std::array server_codes{
    code_of_kind{base::errc::invalid_argument, -32020},
    code_of_kind{base::errc::not_found, -32021},
    code_of_kind{base::errc::conflict, -32022},
    code_of_kind{base::errc::permission_denied, -32023},
    code_of_kind{base::errc::unauthenticated, -32024},
    code_of_kind{base::errc::unavailable, -32025},
    code_of_kind{base::errc::unknown_effect, -32026},
    code_of_kind{base::errc::timeout, -32027},
    code_of_kind{base::errc::resource_exhausted, -32028},
    code_of_kind{base::errc::corrupt, -32029},
    code_of_kind{base::errc::internal, -32030},
};

constexpr int parse_error = -32700;
constexpr int invalid_request = -32600;
constexpr int method_not_found = -32601;
constexpr int invalid_params = -32602;

}  // namespace

int error_code(base::errc kind)
{
    for (const code_of_kind& each : server_codes)
    {
        if (each.kind == kind)
        {
            return each.code;
        }
    }
    return error_code(base::errc::internal);
}

base::errc error_kind(int code)
{
    for (const code_of_kind& each : server_codes)
    {
        if (each.code == code)
        {
            return each.kind;
        }
    }
    switch (code)
    {
    case parse_error:
    case invalid_request:
    case method_not_found:
    case invalid_params:
        return base::errc::invalid_argument;
    default:
        return base::errc::internal;
    }
}

}  // namespace caraway::rpc
