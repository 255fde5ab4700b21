#pragma once

#include "libcaraway/http/message.hpp"

#include <boost/system/error_code.hpp>

namespace caraway::http
{

/// Whether the message framing is unambiguous. Framing that two parsers may interpret differently
/// allows request smuggling.
bool has_unambiguous_framing(const request_head& head);

bool has_one_host(const request_head& head);

/// The status for a request that the parser rejected with this error.
status rejection_status(const boost::system::error_code& error);

}  // namespace caraway::http
