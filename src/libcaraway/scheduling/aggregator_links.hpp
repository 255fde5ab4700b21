#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/scheduling/options.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace caraway::scheduling
{

/// Tracks when each aggregator was last sent a message, and the interval that it requested.
class aggregator_links
{
public:
    explicit aggregator_links(const scheduler_options& options);

    /// Time between two messages to `aggregator`.
    base::duration interval(const base::node_ref& aggregator) const;
    /// Earliest time of the next message; sooner if `urgent`.
    base::time_point due(const base::node_ref& aggregator, bool urgent) const;
    std::uint64_t record_sent(const base::node_ref& aggregator, base::time_point now);
    /// Records a reply; `interval_ms` is the interval that the aggregator requests. Returns false,
    /// and changes nothing, if the reply is not newer than the last one.
    bool record_received(const base::node_ref& aggregator, std::uint64_t sequence,
                         std::uint32_t interval_ms);
    void retain(const std::function<bool(const base::node_ref&)>& alive);

private:
    struct link
    {
        std::optional<base::time_point> last_sent;
        std::uint64_t sent_sequence = 0;
        std::uint64_t received_sequence = 0;
        base::duration requested_interval{};
    };

    const scheduler_options& options_;
    std::map<base::node_ref, link> links_;
};

}  // namespace caraway::scheduling
