#pragma once

#include "caraway_load/measures/integrity.hpp"
#include "caraway_load/measures/utilisation.hpp"
#include "caraway_load/run/process_usage.hpp"

#include <QJsonObject>

#include <cstddef>
#include <set>
#include <vector>

namespace fleet
{
class fleet;
}

namespace caraway_load::run
{

/// What one router said of its peers' link, and what its process had used, at an instant.
struct router_sample
{
    bool up = false;
    double at_s = 0;
    double datagrams_out = 0;
    double bytes_out = 0;
    double bytes_in = 0;
    double messages_out = 0;
    process_usage usage;
    QJsonObject scheduler_counters;
};

/// Asks the processes of a fleet for their figures.
class fleet_watch
{
public:
    explicit fleet_watch(fleet::fleet& target);

    /// Of all engines but those that are down.
    void sample_engines(double now_s, const std::set<std::size_t>& down);
    /// Of all routers; one that doesn't answer is marked as not up.
    std::vector<router_sample> sample_routers(double now_s, const std::set<std::size_t>& down);
    /// Adds what an engine has run to the logs; for one that is about to end, and at the end.
    void collect_engine(std::size_t index);
    void collect_all(const std::set<std::size_t>& down);

    const std::vector<measures::engine_sample>& engine_samples() const;
    const measures::upstream_logs& logs() const;

private:
    fleet::fleet& fleet_;
    std::vector<measures::engine_sample> engine_samples_;
    measures::upstream_logs logs_;
};

}  // namespace caraway_load::run
