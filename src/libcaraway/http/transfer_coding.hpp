#pragma once

#include "libcaraway/http/field_lines.hpp"

namespace caraway::http
{

/// Whether the transfer codings of a message's body are taken off here: none, or `chunked` alone.
/// Where the body ends can't be told under any other (RFC 9112, 6.1, 6.3). HTTP/1.0 has none;
/// `version` is 10 for it.
bool has_known_coding(const field_lines& head, unsigned version);

}  // namespace caraway::http
