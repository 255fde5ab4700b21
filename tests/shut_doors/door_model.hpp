#pragma once

#include "libcaraway/routing/entry/door_policy.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace shut_doors_tests
{

namespace entry = caraway::routing::entry;
using caraway::base::workspace_id;

/// The door of a small VM in ticks of 100 ms: a processor of so many units of work a tick, callers
/// that come on new connections, are turned away while the socket is closed, and leave after a
/// second without an answer.
class door_model
{
public:
    /// New connections per tick of each workspace.
    using demand = std::map<std::string, double>;

    /// Work per tick: 40 requests of 20 units.
    static constexpr double usual_capacity = 800;
    static constexpr int steps_per_tick = 10;
    static constexpr double admission_work = 10;
    static constexpr double events_per_request = 10;
    static constexpr double refusal_work = 2.6;
    /// Ticks over which a request's events are relayed.
    static constexpr int stream_ticks = 5;
    /// Ticks after which a caller without an answer leaves.
    static constexpr double patience_ticks = 10;

    void set_capacity(double units_per_tick)
    {
        capacity_ = units_per_tick;
    }

    /// Plays one tick of the event loop, which takes longer than 100 ms while work is left over.
    void tick(const demand& callers)
    {
        const double lateness_ticks = std::min(6.0, backlog_ / capacity_);
        const auto elapsed =
            std::chrono::milliseconds(100 + static_cast<int>(lateness_ticks * 100));
        parts_.advance(elapsed);
        door_.advance(elapsed);
        guard_.record_tick(elapsed - std::chrono::milliseconds(100), active_);
        is_open_ = true;
        // Engines send events at their own pace.
        for (int each = 0; each < std::lround(1 + lateness_ticks); ++each)
        {
            relay_events();
        }
        for (int step = 0; step < steps_per_tick; ++step)
        {
            for (const auto& [workspace, rate] : callers)
            {
                std::poisson_distribution<int> number(rate * (1 + lateness_ticks) / steps_per_tick);
                receive(workspace, number(random_));
            }
        }
        backlog_ = std::max(0.0, backlog_ - capacity_ * (1 + lateness_ticks));
        // What remains of callers who left costs nothing.
        backlog_ = std::min(backlog_, patience_ticks * capacity_);
        ticks_ += 1 + lateness_ticks;
    }

    void run(const demand& callers, double ticks)
    {
        for (const double end = ticks_ + ticks; ticks_ < end;)
        {
            tick(callers);
        }
    }

    /// Requests per tick of 100 ms that were admitted while their callers waited, since the last
    /// call.
    double take_goodput()
    {
        const double goodput = served_ / std::max(1.0, ticks_ - last_ticks_);
        last_ticks_ = ticks_;
        served_ = 0;
        return goodput;
    }
    /// Connections turned away with or without an answer since the last call.
    double take_turned_away()
    {
        return std::exchange(turned_away_, 0);
    }

    /// Whether less than a fifth of a tick's work is left over.
    bool is_on_time() const
    {
        return backlog_ < capacity_ / 5;
    }

private:
    void receive(const std::string& name, int connections)
    {
        for (int each = 0; each < connections; ++each)
        {
            if (!is_open_)
            {
                ++turned_away_;
                continue;
            }
            accept(workspace_id(name));
            if (door_.is_narrow() && !door_.accepts_more())
            {
                is_open_ = false;
                door_.record_closed();
            }
        }
    }

    void accept(const workspace_id& workspace)
    {
        const entry::stream_effort effort{.tokens = 1000, .events = events_per_request};
        const bool is_narrow = door_.is_narrow();
        if (is_narrow && door_.decide(workspace, active_) != entry::door_verdict::accepted)
        {
            parts_.record_unread(workspace);
            door_.record_refusal();
            backlog_ += refusal_work;
            ++turned_away_;
            return;
        }
        door_.record_undecided(active_);
        backlog_ += admission_work;
        parts_.record_asked(workspace, effort.work());
        if (!guard_.admits(effort, parts_.standing(workspace), active_, parts_.streams_within(),
                           unit_(random_)))
        {
            ++turned_away_;
            return;
        }
        parts_.record_admitted(workspace, effort.work());
        parts_.record_started(workspace);
        ++active_;
        started_[started_tick()].push_back(workspace);
        served_ += backlog_ < patience_ticks * capacity_ ? 1 : 0;
    }

    void relay_events()
    {
        ++tick_number_;
        backlog_ += static_cast<double>(active_) * events_per_request / stream_ticks;
        auto& ended = started_[started_tick()];
        active_ -= ended.size();
        for (const auto& workspace : ended)
        {
            parts_.record_ended(workspace);
        }
        ended.clear();
    }

    std::size_t started_tick() const
    {
        return tick_number_ % stream_ticks;
    }

    entry::overload_guard guard_;
    entry::workspace_parts parts_;
    entry::door_policy door_{guard_, parts_};
    std::array<std::vector<workspace_id>, stream_ticks> started_;
    std::mt19937 random_{11};
    std::uniform_real_distribution<double> unit_{0, 1};
    double capacity_ = usual_capacity;
    double backlog_ = 0;
    double ticks_ = 0;
    double last_ticks_ = 0;
    double served_ = 0;
    double turned_away_ = 0;
    std::size_t tick_number_ = 0;
    std::size_t active_ = 0;
    bool is_open_ = true;
};

}  // namespace shut_doors_tests
