#pragma once

#include "libcaraway/base/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>

/// What a router tells its operators: lines on standard output and metrics.
namespace caraway::telemetry
{

struct log_options
{
    /// Lines a second; at full load a router ends some hundred requests a second, one line each.
    double lines_per_second = 250;
    /// Lines that may come at once.
    double burst = 500;
    /// Bytes that wait for a reader; beyond that lines are dropped.
    std::size_t max_waiting = 65536;
};

/// Structured lines: one JSON object each, with `at` (wall clock, milliseconds), `event` and the
/// fields given. Never blocks and is bounded: what is too much is dropped and counted, and the
/// count is itself a line.
class line_log
{
public:
    /// Takes as many bytes as can be written without waiting; returns how many.
    using sink = std::function<std::size_t(std::string_view)>;

    line_log(const base::clock& clock, sink out, log_options options = {});

    /// Whether a line would be taken now; if not, it counts as dropped. Asked before a line that
    /// costs something is put together: a router that refuses hundreds of requests a second else
    /// spends more on lines that are dropped than on the refusals.
    bool takes_line();
    void line(std::string_view event,
              const nlohmann::ordered_json& fields = nlohmann::ordered_json::object());
    /// Hands what waits to the sink. Called many times a second, so that lines are written
    /// together.
    void flush();

    std::uint64_t written() const
    {
        return written_;
    }
    std::uint64_t dropped() const
    {
        return dropped_;
    }
    std::uint64_t bytes() const
    {
        return bytes_;
    }

private:
    bool admit();
    void refill();
    bool has_room() const;
    void append(std::string_view event, const nlohmann::ordered_json& fields);

    const base::clock& clock_;
    sink out_;
    log_options options_;
    std::string waiting_;
    double allowance_;
    base::time_point refilled_{};
    std::uint64_t written_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
    std::uint64_t bytes_ = 0;
};

/// Standard output, without waiting for its reader.
line_log::sink standard_output();

}  // namespace caraway::telemetry
