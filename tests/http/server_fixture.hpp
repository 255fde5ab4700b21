#pragma once

#include "loop_fixture.hpp"

#include "libcaraway/http/listener.hpp"

#include <boost/test/unit_test.hpp>

namespace http_tests
{

/// A listener that records its requests.
struct server_fixture : loop_fixture
{
    caraway::http::server_limits limits{.header_bytes = 2048, .body_bytes = 5000};
    std::vector<std::shared_ptr<caraway::http::exchange>> requests;
    /// Called with each request when the listener delivers it.
    std::function<void(const caraway::http::exchange&)> inspect_request =
        [](const caraway::http::exchange&) {
        };
    caraway::http::listener listener{loop, timers, [this] { return limits; },
                                     [this](const auto& request)
                                     {
                                         inspect_request(*request);
                                         requests.push_back(request);
                                     },
                                     100};

    server_fixture()
    {
        BOOST_REQUIRE(listener.open({.ip = "127.0.0.1", .port = 0}).has_value());
    }

    std::shared_ptr<raw_peer> caller()
    {
        return connect_to(loop, listener.port());
    }
};

inline const std::string get_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

}  // namespace http_tests
