#include "libcaraway/net/http_lanes.hpp"

#include <algorithm>
#include <iterator>

namespace caraway::net
{

namespace
{

/// The manager itself forgets what wasn't used for two minutes. A connection idle for longer than
/// most upstreams keep theirs is likely to be closed just when a request is sent.
constexpr std::chrono::seconds idle_limit{30};
constexpr std::chrono::seconds drop_interval{10};

}  // namespace

lane http_lanes::acquire(const std::string& host_and_port, bool reuse, base::time_point now)
{
    std::vector<idle_lane>& lanes = idle_[host_and_port];
    const auto find = [&](bool kept)
    {
        // The last is the one used most recently.
        return std::find_if(lanes.rbegin(), lanes.rend(),
                            [&](const idle_lane& lane) {
                                return lane.used.was_kept == kept && now - lane.since < idle_limit;
                            });
    };
    auto found = reuse ? find(true) : lanes.rend();
    found = found == lanes.rend() ? find(false) : found;
    if (found == lanes.rend())
    {
        return {.id = lane_id{++last_}};
    }
    const lane chosen = found->used;
    spent_ -= chosen.was_kept ? 1 : 0;
    lanes.erase(std::next(found).base());
    return chosen;
}

void http_lanes::release(const std::string& host_and_port, lane used, lane_end end,
                         base::time_point now)
{
    used.was_kept = used.was_kept || end == lane_end::kept;
    spent_ += used.was_kept || end == lane_end::doubtful ? 1 : 0;
    if (end != lane_end::doubtful)
    {
        idle_[host_and_port].push_back({.used = used, .since = now});
    }
    if (now - last_drop_ >= drop_interval)
    {
        drop_old(now);
    }
}

std::size_t http_lanes::spent() const
{
    return spent_;
}

void http_lanes::drop_old(base::time_point now)
{
    last_drop_ = now;
    for (auto& [host, lanes] : idle_)
    {
        std::erase_if(lanes,
                      [&](const idle_lane& lane)
                      {
                          const bool is_old = now - lane.since >= idle_limit;
                          spent_ += is_old && !lane.used.was_kept ? 1 : 0;
                          return is_old;
                      });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace caraway::net
