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
                                   .max_waiting = static_cast<std::size_t>(
                                       options.request_part *
                                       static_cast<double>(options.max_waiting)),
                                   .left = options.request_burst,
                                   .refilled = clock.now()},
      others_{.per_second = options.lines_per_second,
              .burst = options.burst,
              .max_waiting = options.max_waiting,
              .left = options.burst,
              .refilled = clock.now()}
{
}

void line_log::line(std::string_view event, const nlohmann::ordered_json& fields)
{
    add(others_, event, fields);
}

bool line_log::accepts_request_line()
{
    return has_room(requests_);
}

void line_log::request_line(std::string_view event, const nlohmann::ordered_json& fields)
{
    add(requests_, event, fields);
}

void line_log::flush()
{
    if (dropped() > reported_ && waiting_.size() < options_.max_waiting / 2)
    {
        append("lines_dropped", {{"total", dropped()}, {"not_of_requests", others_.dropped}});
        reported_ = dropped();
    }
    if (!waiting_.empty())
    {
        const auto taken = out_(waiting_);
        waiting_.erase(0, taken);
    }
}

bool line_log::has_room(allowance& of)
{
    const auto now = clock_.now();
    const double seconds = std::chrono::duration<double>(now - of.refilled).count();
    of.left = std::min(of.burst, of.left + seconds * of.per_second);
    of.refilled = now;
    const bool room = of.left >= 1 && waiting_.size() < of.max_waiting;
    of.dropped += room ? 0 : 1;
    return room;
}

void line_log::add(allowance& of, std::string_view event, const nlohmann::ordered_json& fields)
{
    if (has_room(of))
    {
        of.left -= 1;
        append(event, fields);
    }
}

void line_log::append(std::string_view event, const nlohmann::ordered_json& fields)
{
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.wall_time().time_since_epoch());
    const nlohmann::ordered_json first{{"at", wall.count()}, {"event", event}};
    auto text = to_text(first);
    if (!fields.empty())
    {
        // Two objects written as one: to merge them copied each field, a third of a line's cost.
        text.back() = ',';
        text.append(to_text(fields), 1);
    }
    text += '\n';
    waiting_ += text;
    bytes_ += text.size();
    ++written_;
}

line_log::sink standard_output()
{
    return [](std::string_view bytes) -> std::size_t
    {
        std::size_t taken = 0;
        while (taken < bytes.size())
        {
            pollfd ready{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
            if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            {
                break;
            }
            // A pipe that polls writable takes this much at once.
            const auto part = std::min<std::size_t>(bytes.size() - taken, PIPE_BUF);
            const auto written = ::write(STDOUT_FILENO, bytes.data() + taken, part);
            if (written <= 0)
            {
                break;
            }
            taken += static_cast<std::size_t>(written);
        }
        return taken;
    };
}

}  // namespace caraway::telemetry
