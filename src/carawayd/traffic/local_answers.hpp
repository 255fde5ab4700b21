#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/net/http_message.hpp"

#include <cstdint>
#include <functional>

namespace carawayd::traffic
{

struct routing_view;

/// `GET /v1/entry`: which routers to connect to, best first, and for how long to keep that. A
/// caller names its availability zone as `?zone=`, else this router's own counts.
caraway::net::http_response entry_answer(const routing_view& view,
                                         const caraway::net::http_request& request,
                                         caraway::base::time_point now,
                                         const std::function<std::uint64_t()>& random);

/// `GET /v1/models`: the models that the caller's workspace may call.
caraway::net::http_response models_answer(const routing_view& view,
                                          const caraway::net::http_request& request);

}  // namespace carawayd::traffic
