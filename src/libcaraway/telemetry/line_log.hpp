#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/telemetry/line_fields.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>

/// Output of a router for its operators: log lines on standard output, and metrics.
namespace caraway::telemetry
{

struct log_options
{
    /// Lines per second about requests. At full load a router completes some hundred requests per
    /// second, with one line each.
    double request_lines_per_second = 250;
    /// Burst of lines about requests.
    double request_burst = 500;
    /// All other lines per second. A fleet of 100 upstreams that are all replaced within a minute
    /// causes ten.
    double lines_per_second = 100;
    /// Burst of all other lines. Reading a listing of some hundred upstreams completely causes one
    /// line each, and it may be read a few times in succession.
    double burst = 1000;
    /// Bytes buffered for the reader of the output; lines beyond this are dropped.
    std::size_t max_buffered_bytes = 65536;
    /// Fraction of the buffer that lines about requests may fill.
    double request_fraction = 0.75;
};

/// Structured log: one JSON object per line, with `at` (wall clock, milliseconds since the epoch),
/// `event` and the given fields. Never blocks and is bounded: excess lines are dropped, and their
/// number is logged. Lines about requests have a rate limit of their own: with a shared one, a
/// burst of refusals displaced the few lines about the state of upstreams, and it could not be
/// determined why a removed upstream was still used.
class line_log
{
public:
    /// Writes as many bytes as possible without blocking; returns their number.
    using sink = std::function<std::size_t(std::string_view)>;

    line_log(const base::clock& clock, sink out, log_options options = {});

    /// Logs a change of the process's own state: its view of the fleet, its decisions, and
    /// connections lost or regained.
    void line(std::string_view event,
              const nlohmann::ordered_json& fields = nlohmann::ordered_json::object());
    /// Whether a line about a request would be accepted now; if not, counts it as dropped. Call
    /// this before composing an expensive line: a router that refuses hundreds of requests per
    /// second would otherwise spend more on dropped lines than on the refusals.
    bool accepts_request_line();
    /// Logs the outcome of one or more requests or attempts.
    void request_line(std::string_view event, const nlohmann::ordered_json& fields);
    /// The same for the line that each request has at its end.
    void request_line(std::string_view event, const line_fields& fields);
    /// Writes buffered lines to the sink. Called several times per second, so that lines are
    /// written in batches.
    void flush();

    /// Lines accepted into the buffer.
    std::uint64_t written() const
    {
        return accepted_lines_;
    }
    /// Dropped lines of both kinds.
    std::uint64_t dropped() const
    {
        return requests_.dropped + others_.dropped;
    }
    /// Bytes of the accepted lines.
    std::uint64_t bytes() const
    {
        return accepted_bytes_;
    }

private:
    struct rate_limit
    {
        double per_second = 0;
        double burst = 0;
        /// A line is accepted only while fewer bytes than this are buffered.
        std::size_t max_buffered_bytes = 0;
        double remaining = 0;
        std::uint64_t dropped = 0;
        base::time_point last_refill{};
    };

    /// Whether a line under this limit would be accepted; counts it as dropped if not.
    bool has_room(rate_limit& limit);
    /// Counts a line under this limit; returns whether it is accepted.
    bool take(rate_limit& limit);
    void append(std::string_view event, const nlohmann::ordered_json& fields);
    /// `members` are those of a JSON object, without its braces.
    void append_members(std::string_view event, std::string_view members);

    const base::clock& clock_;
    sink out_;
    log_options options_;
    std::string buffer_;
    rate_limit requests_;
    rate_limit others_;
    std::uint64_t accepted_lines_ = 0;
    std::uint64_t reported_dropped_ = 0;
    std::uint64_t accepted_bytes_ = 0;
};

/// Returns a sink that writes to standard output without blocking on a slow reader.
line_log::sink standard_output();

}  // namespace caraway::telemetry
