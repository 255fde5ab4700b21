#pragma once

#include "libcaraway/base/clock.hpp"

namespace caraway::routing::entry
{

struct work_budget_options
{
    /// Refusals may cost this fraction of the work that the VM admits, so that its processor goes
    /// to streams under way, sound requests, digests and the store first.
    double refusals = 0.15;
    /// Work of accepting a connection, reading a head and refusing it with an answer, in the unit
    /// of stream_effort::work: about a quarter of reading, placing and sending a request.
    double refusal_work = 2.6;
    /// Refusals may use what was left of this time at once.
    std::chrono::milliseconds burst{200};
    /// Smoothing factor of the admitted work per tick.
    double smoothing = 0.1;
};

/// Limits the work of refusing new connections. How much a VM carries is taken from the work that
/// it admitted of late: a process can't tell from its own processor time how much of a processor it
/// is given.
class work_budget
{
public:
    explicit work_budget(work_budget_options options = {});

    /// Records the work that was admitted in the elapsed time. Called each tick. Ignored unless
    /// `elapsed` is above 0, and `admitted` is finite and not negative.
    void advance(base::duration elapsed, double admitted);
    /// Records a connection that was refused with an answer.
    void record_refusal();
    /// Whether one more connection may be refused with an answer now.
    bool may_refuse() const
    {
        return left_ > 0;
    }

    /// Admitted work per second, smoothed.
    double work_rate() const
    {
        return work_rate_;
    }
    /// Work that refusals may still cost; negative while they have cost more than they may. What
    /// they cost beyond it is owed up to what they may use at once.
    double left() const
    {
        return left_;
    }

private:
    double burst_work() const;

    work_budget_options options_;
    double work_rate_ = 0;
    /// Work that refusals may still cost.
    double left_ = 0;
};

}  // namespace caraway::routing::entry
