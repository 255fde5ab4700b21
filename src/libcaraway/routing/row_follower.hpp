#pragma once

#include "libcaraway/base/clock.hpp"

#include <cstdint>

namespace caraway::routing
{

struct follower_options
{
    /// How long the store may hold a long-polling call that waits for changes. This bounds how long
    /// a silently broken connection goes unnoticed.
    std::chrono::milliseconds hold{1500};
    /// The least time between an answer and the next call. Bounds the rate of calls for a table
    /// that changes constantly.
    std::chrono::milliseconds gap{0};
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{400};
};

/// Decides which calls keep a copy of a table in the platform's store up to date: one that reads
/// the whole table, then calls for the changes since. Tracks whether the copy may be stale.
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
        /// Changes after this revision are requested.
        std::uint64_t after = 0;
        std::chrono::milliseconds hold{};
        /// The earliest time for the call.
        base::time_point not_before{};
    };

    explicit row_follower(follower_options options = {});

    /// Sets the options of the same names. In a large fleet each router calls less often; its peers
    /// report the changes in between.
    void set_pace(std::chrono::milliseconds gap, std::chrono::milliseconds hold)
    {
        options_.gap = gap;
        options_.hold = hold;
    }
    /// The longest wait after failed calls.
    void set_max_backoff(std::chrono::milliseconds backoff)
    {
        options_.max_backoff = backoff;
    }

    /// The next call to make. While the store is unreachable, calls have a hold of zero: a held
    /// call whose answer is lost would delay the next one, which would detect the store's recovery.
    call next(base::time_point now) const;

    /// The copy is current up to `revision`. An older revision than the known one doesn't lower it.
    void record_answer(std::uint64_t revision, base::time_point now);
    /// The store no longer has the requested changes, so the whole table must be read again.
    void record_history_gone(base::time_point now);
    /// The call was refused or timed out.
    void record_failure(base::time_point now);

    /// Whether the last call failed.
    bool lost() const
    {
        return consecutive_failures_ > 0;
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
    bool needs_full_read_ = true;
    std::uint64_t revision_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    base::time_point not_before_{};
};

}  // namespace caraway::routing
