#pragma once

#include "libcaraway/base/ids.hpp"

namespace carawayd::traffic
{

/// The id that a caller sees, `<node>-<life in hex>-<number>`: unique over routers and their lives,
/// and it tells which router can explain the request.
caraway::base::request_id make_request_id(const caraway::base::node_ref& router,
                                          caraway::base::request_number number);

}  // namespace carawayd::traffic
