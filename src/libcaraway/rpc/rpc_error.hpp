#pragma once

#include "libcaraway/base/error.hpp"

#include <optional>
#include <string_view>

namespace caraway::rpc
{

/// The JSON-RPC error code of an error kind, in the range that JSON-RPC leaves to servers. Stable:
/// operators' scripts see it. The error's `data` holds the kind's name as `code`.
int error_code(base::errc kind);

/// The error kind of a JSON-RPC error code, the standard's own codes included.
base::errc error_kind(int code);

}  // namespace caraway::rpc
