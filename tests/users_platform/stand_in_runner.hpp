#pragma once

#include "libcaraway/http/listener.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace users_platform_tests
{

/// A small stand-in of a runner: checks which instance is expected, runs a request by streaming
/// events or answering at once, and can fail in the ways that runners do.
class stand_in_runner
{
public:
    struct run
    {
        std::string id;
        std::string method;
        std::string target;
        std::string body;
        caraway::http::request_head head;
        std::shared_ptr<caraway::http::exchange> exchange;
        /// Set when the connection ended before the answer was complete.
        std::shared_ptr<bool> cancelled;
    };

    /// What to do with the next requests, one each; when empty, they are answered with 200.
    using behaviour = std::function<void(stand_in_runner&, const run&)>;

    stand_in_runner(boost::asio::io_context& loop, caraway::http::timer_queue& timers,
                    std::string instance);

    caraway::routing::endpoint address() const;
    /// The value of its row in the platform's table.
    std::string entry(const std::string& service, const std::string& state = "ready") const;

    std::string instance;
    std::string zone = "z1";
    std::optional<int> warmup_left_ms;
    std::deque<behaviour> next;
    std::vector<run> runs;
    /// All arrivals, also those not run.
    int arrivals = 0;

    /// Answers as a runner does.
    void succeed(const run& of, const std::string& body);
    void begin_stream(const run& of);
    void event(const run& of, int id);
    void fail(const run& of);
    void refuse(const run& of, unsigned code = 503);
    void stop_listening();

private:
    void on_request(const std::shared_ptr<caraway::http::exchange>& request);
    caraway::http::response_head head_for(const run& of, unsigned code) const;

    caraway::http::listener listener_;
    std::uint16_t port_ = 0;
};

}  // namespace users_platform_tests
