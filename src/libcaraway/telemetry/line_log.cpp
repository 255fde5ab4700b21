#include "libcaraway/telemetry/line_log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace caraway::telemetry
{

namespace
{

std::string to_text(const nlohmann::ordered_json& object)
{
    return object.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

line_log::line_log(const base::clock& clock, sink out, log_options options)
    : clock_(clock), out_(std::move(out)),
      options_(options), requests_{.per_second = options.request_lines_per_second,
                                   .burst = options.request_burst,
                                   .max_buffered_bytes = static_cast<std::size_t>(
                                       options.request_fraction *
                                       static_cast<double>(options.max_buffered_bytes)),
                                   .remaining = options.request_burst,
                                   .last_refill = clock.now()},
      others_{.per_second = options.lines_per_second,
              .burst = options.burst,
              .max_buffered_bytes = options.max_buffered_bytes,
              .remaining = options.burst,
              .last_refill = clock.now()}
{
}

void line_log::line(std::string_view event, const nlohmann::ordered_json& fields)
{
    if (take(others_))
    {
        append(event, fields);
    }
}

bool line_log::accepts_request_line()
{
    return has_room(requests_);
}

void line_log::request_line(std::string_view event, const nlohmann::ordered_json& fields)
{
    if (take(requests_))
    {
        append(event, fields);
    }
}

void line_log::request_line(std::string_view event, const line_fields& fields)
{
    if (take(requests_))
    {
        append_members(event, fields.text());
    }
}

void line_log::flush()
{
    if (dropped() > reported_dropped_ && buffer_.size() < options_.max_buffered_bytes / 2)
    {
        append("lines_dropped", {{"total", dropped()}, {"not_of_requests", others_.dropped}});
        reported_dropped_ = dropped();
    }
    if (!buffer_.empty())
    {
        const auto bytes_written = out_(buffer_);
        buffer_.erase(0, bytes_written);
    }
}

bool line_log::has_room(rate_limit& limit)
{
    const auto now = clock_.now();
    const double seconds = std::chrono::duration<double>(now - limit.last_refill).count();
    limit.remaining = std::min(limit.burst, limit.remaining + seconds * limit.per_second);
    limit.last_refill = now;
    const bool accepted = limit.remaining >= 1 && buffer_.size() < limit.max_buffered_bytes;
    limit.dropped += accepted ? 0 : 1;
    return accepted;
}

bool line_log::take(rate_limit& limit)
{
    const bool accepted = has_room(limit);
    limit.remaining -= accepted ? 1 : 0;
    return accepted;
}

void line_log::append(std::string_view event, const nlohmann::ordered_json& fields)
{
    const auto text = fields.empty() ? std::string("{}") : to_text(fields);
    append_members(event, std::string_view(text).substr(1, text.size() - 2));
}

void line_log::append_members(std::string_view event, std::string_view members)
{
    const auto wall_time_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.wall_time().time_since_epoch());
    line_fields header;
    header.add("at", wall_time_ms.count()).add("event", event);
    const auto size_before = buffer_.size();
    buffer_ += '{';
    buffer_ += header.text();
    if (!members.empty())
    {
        buffer_ += ',';
        buffer_ += members;
    }
    buffer_ += "}\n";
    accepted_bytes_ += buffer_.size() - size_before;
    ++accepted_lines_;
}

line_log::sink standard_output()
{
    return [](std::string_view bytes) -> std::size_t
    {
        std::size_t bytes_written = 0;
        while (bytes_written < bytes.size())
        {
            pollfd poll_entry{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
            if (::poll(&poll_entry, 1, 0) != 1 || (poll_entry.revents & POLLOUT) == 0)
            {
                break;
            }
            // A pipe reported as writable accepts PIPE_BUF bytes without blocking.
            const auto chunk_size = std::min<std::size_t>(bytes.size() - bytes_written, PIPE_BUF);
            const auto written = ::write(STDOUT_FILENO, bytes.data() + bytes_written, chunk_size);
            if (written <= 0)
            {
                break;
            }
            bytes_written += static_cast<std::size_t>(written);
        }
        return bytes_written;
    };
}

}  // namespace caraway::telemetry
