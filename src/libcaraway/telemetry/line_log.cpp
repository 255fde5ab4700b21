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
    : clock_(clock), out_(std::move(out)), options_(options), allowance_(options.burst),
      refilled_(clock.now())
{
}

void line_log::line(std::string_view event, const nlohmann::ordered_json& fields)
{
    if (!admit())
    {
        ++dropped_;
        return;
    }
    append(event, fields);
}

bool line_log::takes_line()
{
    refill();
    if (has_room())
    {
        return true;
    }
    ++dropped_;
    return false;
}

void line_log::flush()
{
    if (dropped_ > reported_ && waiting_.size() < options_.max_waiting / 2)
    {
        append("lines_dropped", {{"total", dropped_}});
        reported_ = dropped_;
    }
    if (!waiting_.empty())
    {
        const auto taken = out_(waiting_);
        waiting_.erase(0, taken);
    }
}

bool line_log::admit()
{
    refill();
    if (!has_room())
    {
        return false;
    }
    allowance_ -= 1;
    return true;
}

void line_log::refill()
{
    const auto now = clock_.now();
    const double seconds = std::chrono::duration<double>(now - refilled_).count();
    allowance_ = std::min(options_.burst, allowance_ + seconds * options_.lines_per_second);
    refilled_ = now;
}

bool line_log::has_room() const
{
    return allowance_ >= 1 && waiting_.size() < options_.max_waiting;
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
