#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <map>
#include <optional>

namespace caraway::scheduling
{

/// Rate at which this router's requests of an account are started while requests wait.
class service_rate
{
public:
    /// Requests of the account started to wait; idle time before that is not counted.
    void record_backlog(const account& key, base::time_point now);
    void record_start(const account& key, base::time_point now);
    /// No request of the account waits any longer.
    void record_empty(const account& key, base::time_point now);

    /// Starts per second; nothing until enough starts have been observed.
    std::optional<double> rate(const account& key, base::time_point now) const;

private:
    struct meter
    {
        bool backlogged = false;
        base::time_point updated;
        /// Number of starts and backlogged time in seconds. Both decay at the same rate, so that
        /// their ratio is a rate.
        double starts = 0;
        double seconds = 0;
    };

    static void advance(meter& state, base::time_point now);

    std::map<account, meter> meters_;
};

}  // namespace caraway::scheduling
