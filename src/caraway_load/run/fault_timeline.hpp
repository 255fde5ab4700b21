#pragma once

#include "caraway_load/workload/scenario.hpp"

#include <QString>

#include <functional>
#include <set>
#include <vector>

namespace fleet
{
class fleet;
}

namespace caraway_load::run
{

/// Makes the scenario's faults happen to a fleet and undoes them again.
class fault_timeline
{
public:
    fault_timeline(fleet::fleet& target, const std::vector<workload::fault>& faults);

    /// Does what is due by now.
    void advance(double now_s);
    /// Engines that are down at present; they can't be asked for their figures.
    const std::set<std::size_t>& engines_down() const;
    /// Routers that are killed, frozen or cut off at present.
    const std::set<std::size_t>& routers_down() const;
    /// What went wrong in bringing the faults about.
    const std::vector<QString>& problems() const;
    /// Called right before a process ends for good, so that its figures can be saved.
    void set_before_engine_ends(std::function<void(std::size_t engine)> call);

private:
    struct step
    {
        double at_s = 0;
        workload::fault what;
        bool undo = false;
    };

    void carry_out(const step& one);
    void router_step(const step& one);
    void cut(std::size_t router, bool undo);
    void crash_engine(const step& one);

    fleet::fleet& fleet_;
    std::vector<step> steps_;
    std::size_t next_ = 0;
    std::set<std::size_t> engines_down_;
    std::set<std::size_t> routers_down_;
    std::vector<QString> problems_;
    std::function<void(std::size_t)> before_engine_ends_;
};

}  // namespace caraway_load::run
