#pragma once

#include "libcaraway/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway::net
{

/// The name of a lane; never given to another lane.
enum class lane_id : std::uint64_t
{
};

struct lane
{
    lane_id id{};
    /// A connection was once kept on it. Qt may by then have opened another beside it, so this
    /// stays.
    bool was_kept = false;
};

/// What is known of a lane's connection after a call.
enum class lane_end
{
    closed,    ///< The answer was whole and announced the close.
    kept,      ///< The answer was whole, and the connection may stand.
    doubtful,  ///< The call broke off; Qt may be connecting anew by itself.
};

/// Which connection of QNetworkAccessManager a call uses.
///
/// The manager runs six requests at a time for what it takes for one host, queues the rest out of
/// sight, and sends a request on a kept connection as it likes. Here each call has a lane of its
/// own while it runs, and the manager takes each lane for another host (see http_attempt). So there
/// is no hidden queue, a lane has one connection at most, and it is known which calls may meet a
/// kept one.
class http_lanes
{
public:
    /// A lane for one call. Unless `reuse`, no connection stands on it.
    lane acquire(const std::string& host_and_port, bool reuse, base::time_point now);

    void release(const std::string& host_and_port, lane used, lane_end end, base::time_point now);

    /// Lanes that no call uses and no fresh call ever will. The manager remembers each for two
    /// minutes.
    std::size_t spent() const;

private:
    struct idle_lane
    {
        lane used;
        base::time_point since;
    };

    void drop_old(base::time_point now);

    std::unordered_map<std::string, std::vector<idle_lane>> idle_;
    std::uint64_t last_ = 0;
    std::size_t spent_ = 0;
    base::time_point last_drop_;
};

}  // namespace caraway::net
