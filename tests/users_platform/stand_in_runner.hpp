#pragma once

#include "libcaraway/http/listener.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace users_platform_tests
{

/// Stand-in of a runner. Checks the expected instance, answers a request at once or with a stream
/// of events, and reproduces the ways in which runners fail.
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

    /// Handles one request. `next_behaviours` holds one for each of the next requests; requests
    /// beyond them are answered with 200.
    using behaviour = std::function<void(stand_in_runner&, const run&)>;

    stand_in_runner(boost::asio::io_context& loop, caraway::http::timer_queue& timers,
                    std::string instance);

    caraway::routing::endpoint address() const;
    /// Value of the runner's row in the platform's table of upstreams.
    std::string entry(const std::string& service, const std::string& state = "ready") const;

    std::string instance;
    std::string zone = "z1";
    /// Version of its software.
    std::string software = "v1";
    std::optional<int> warmup_left_ms;
    /// When its process started, in ms since the epoch; the entry lacks it if it is empty.
    std::optional<std::int64_t> process_start;
    /// All answers say that the runner is shutting down.
    bool leaving = false;
    std::deque<behaviour> next_behaviours;
    std::vector<run> runs;
    /// Number of requests received, including those not run.
    int requests_received = 0;

    // Answers in the format of a runner.
    void succeed(const run& current, const std::string& body);
    void begin_stream(const run& current);
    void send_event(const run& current, int id);
    void fail(const run& current);
    /// `retry_after` is sent as Retry-After unless it is empty.
    void reject(const run& current, unsigned code = 503, const std::string& retry_after = {});
    void stop_listening();

private:
    void on_request(const std::shared_ptr<caraway::http::exchange>& request);
    caraway::http::response_head head_for(const run& current, unsigned code) const;
    void announce_leaving(caraway::http::response_head& head) const;

    caraway::http::listener listener_;
    std::uint16_t port_ = 0;
};

}  // namespace users_platform_tests
