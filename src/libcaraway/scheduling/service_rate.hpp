#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <map>
#include <optional>

namespace caraway::scheduling
{

/// How fast this router's requests of an account get started while they have to wait.
class service_rate
{
public:
    /// Something began to wait; idle time before it doesn't count.
    void record_backlog(const account& key, base::time_point now);
    void record_start(const account& key, base::time_point now);
    /// Nothing waits any more.
    void record_empty(const account& key, base::time_point now);

    /// Starts a second; nothing until it was measured over enough of them.
    std::optional<double> rate(const account& key, base::time_point now) const;

private:
    struct meter
    {
        bool waiting = false;
        base::time_point updated;
        /// Both decay over the same time, so that their ratio is a rate.
        double starts = 0;
        double seconds = 0;
    };

    static void advance(meter& each, base::time_point now);

    std::map<account, meter> meters_;
};

}  // namespace caraway::scheduling
