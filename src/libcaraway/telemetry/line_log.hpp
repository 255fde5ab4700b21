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
    /// Lines a second about requests; at full load a router ends some hundred a second, one line
    /// each.
    double request_lines_per_second = 250;
    /// Lines about requests that may come at once.
    double request_burst = 500;
    /// All other lines a second: a fleet of 100 upstreams that are all replaced in a minute makes
    /// ten.
    double lines_per_second = 100;
    /// All other lines at once: a listing of some hundred upstreams, read whole a few times.
    double burst = 1000;
    /// Bytes that wait for a reader; beyond that lines are dropped.
    std::size_t max_waiting = 65536;
    /// The part of it that lines about requests may fill.
    double request_part = 0.75;
};

/// Structured lines: one JSON object each, with `at` (wall clock, milliseconds), `event` and the
/// fields given. Never blocks and is bounded: what is too much is dropped and counted, and the
/// count is itself a line. Lines about requests have an allowance of their own: where all shared
/// one, a flood of refusals displaced the few lines that tell what a router believes of upstreams,
/// and nobody could say why one that had left was still used.
class line_log
{
public:
    /// Takes as many bytes as can be written without waiting; returns how many.
    using sink = std::function<std::size_t(std::string_view)>;

    line_log(const base::clock& clock, sink out, log_options options = {});

    /// What the process believes, decides for itself, loses or regains.
    void line(std::string_view event,
              const nlohmann::ordered_json& fields = nlohmann::ordered_json::object());
    /// Whether a line about a request would be taken now; if not, it counts as dropped. Asked
    /// before a line that costs something is put together: a router that refuses hundreds of
    /// requests a second else spends more on lines that are dropped than on the refusals.
    bool accepts_request_line();
    /// What came of a request, an attempt, or of many of them.
    void request_line(std::string_view event, const nlohmann::ordered_json& fields);
    /// Hands what waits to the sink. Called many times a second, so that lines are written
    /// together.
    void flush();

    std::uint64_t written() const
    {
        return written_;
    }
    /// Lines of both kinds.
    std::uint64_t dropped() const
    {
        return requests_.dropped + others_.dropped;
    }
    std::uint64_t bytes() const
    {
        return bytes_;
    }

private:
    struct allowance
    {
        double per_second = 0;
        double burst = 0;
        /// Bytes that may wait when a line is added.
        std::size_t max_waiting = 0;
        double left = 0;
        std::uint64_t dropped = 0;
        base::time_point refilled{};
    };

    /// Whether a line of that kind has room; counts it as dropped if not.
    bool has_room(allowance& of);
    void add(allowance& of, std::string_view event, const nlohmann::ordered_json& fields);
    void append(std::string_view event, const nlohmann::ordered_json& fields);

    const base::clock& clock_;
    sink out_;
    log_options options_;
    std::string waiting_;
    allowance requests_;
    allowance others_;
    std::uint64_t written_ = 0;
    std::uint64_t reported_ = 0;
    std::uint64_t bytes_ = 0;
};

/// Standard output, without waiting for its reader.
line_log::sink standard_output();

}  // namespace caraway::telemetry
