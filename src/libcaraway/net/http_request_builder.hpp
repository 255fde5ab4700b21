#pragma once

#include "libcaraway/net/http_call.hpp"
#include "libcaraway/net/http_lanes.hpp"

#include <QNetworkRequest>

namespace caraway::net
{

/// Why the request can't be sent as given (invalid_argument), or an error without message if it
/// can.
base::error find_fault(const client_request& request);

/// The request in Qt's form, with all that Qt does of its own accord switched off: redirects,
/// cookies, compression, HTTP/2, buffering of the body.
QNetworkRequest network_request(const client_request& request, lane_id lane);

}  // namespace caraway::net
