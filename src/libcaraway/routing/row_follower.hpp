#pragma once

#include "libcaraway/base/clock.hpp"

#include <cstdint>

namespace caraway::routing
{

struct follower_options
{
    /// How long the store may hold a call that waits for changes. It bounds how long a connection
    /// that went silent goes unnoticed.
    std::chrono::milliseconds hold{1500};
    /// Time between two calls, so that a table that changes all the time costs a bounded number.
    std::chrono::milliseconds gap{0};
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{400};
};

/// Keeps a copy of a table of the platform's store up to date: reads it whole, then asks for what
/// changed since. Knows when the copy can't be trusted to be fresh.
class row_follower
{
public:
    enum class call_kind
    {
        read_all,
        follow,
    };

    struct call
    {
        call_kind kind = call_kind::read_all;
        /// Revision from which changes are wanted.
        std::uint64_t after = 0;
        std::chrono::milliseconds hold{};
        /// Not before then.
        base::time_point not_before{};
    };

    explicit row_follower(follower_options options = {});

    /// In a large fleet each router asks less often; the others tell it of what it missed
    /// meanwhile.
    void set_pace(std::chrono::milliseconds gap, std::chrono::milliseconds hold)
    {
        options_.gap = gap;
        options_.hold = hold;
    }
    /// How long it waits at most after calls that failed.
    void set_max_backoff(std::chrono::milliseconds pause)
    {
        options_.max_backoff = pause;
    }

    /// What to ask next. While the store is lost, calls aren't held there: one that got lost itself
    /// would keep the next from finding out that the store is back.
    call next(base::time_point now) const;

    /// Answered, up to that revision.
    void record_answer(std::uint64_t revision, base::time_point now);
    /// The store no longer has the changes asked for; those in between are lost, so all is read.
    void record_history_gone(base::time_point now);
    /// Refused, or no answer in time.
    void record_failure(base::time_point now);

    /// Whether the last call failed.
    bool lost() const
    {
        return failures_ > 0;
    }
    bool has_read() const
    {
        return has_read_;
    }
    std::uint64_t revision() const
    {
        return revision_;
    }

private:
    follower_options options_;
    bool has_read_ = false;
    bool read_needed_ = true;
    std::uint64_t revision_ = 0;
    std::uint32_t failures_ = 0;
    base::time_point earliest_{};
};

}  // namespace caraway::routing
